// Package report sends usage reports to the platform. A report is idempotent by
// its window: sending it again changes nothing.
package report

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

// FenceHeader carries the reporter's fencing number.
const FenceHeader = "X-Fencing-Number"

// PathPrefix is where windows are reported, by their IDs.
const PathPrefix = "/usage/windows/"

// maxAnswerBytes bounds what is read of an answer.
const maxAnswerBytes = 64 << 10

// Report is the use of one window on the wire. Figures hold late use too.
type Report struct {
	Window     window.ID
	Start, End time.Time
	Figures    map[string]meter.Usage
	// Late lists the part of Figures that was counted in earlier windows, after they were frozen.
	Late   []window.LateUsage `json:",omitempty"`
	Digest string
	Sender string
}

// Of returns the report of a frozen window.
func Of(w *window.Window) Report {
	return Report{
		Window: w.ID, Start: w.ID.Start(), End: w.EndTime(),
		Figures: w.Total(), Late: w.Late, Digest: w.Digest, Sender: w.Sender.Name,
	}
}

// Reader reads back what the platform accepted.
type Reader interface {
	// Fetch returns the report that the platform holds for a window, or false for none.
	Fetch(ctx context.Context, id window.ID) (Report, bool, error)
}

// RejectedError is a report that the platform refused, because it holds other figures for the window or
// has seen a higher fencing number.
type RejectedError struct {
	Window window.ID
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("the platform refused the report of window %s with status %d (%s); compare the window object with the platform's report before sending again",
		e.Window, e.Status, e.Detail)
}

// LostError is a report whose answer did not come: it may have been accepted.
type LostError struct {
	Window window.ID
	Cause  error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("no answer to the report of window %s (%v); send the same figures again", e.Window, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Client sends reports over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform's report interface at base.
func NewClient(base string) *Client {
	return &Client{strings.TrimSuffix(base, "/"), &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}}}
}

// Send reports a window once; ctx bounds it. A nil error tells that the platform accepted it, now or before.
func (c *Client) Send(ctx context.Context, r Report, fence uint64) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+PathPrefix+url.PathEscape(string(r.Window)), bytes.NewReader(b))
	if err != nil {
		return err
	}
	// The transport must not send a second time by itself: the lease was checked for one send.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(fence, 10))
	res, err := c.http.Do(req)
	if err != nil {
		return &LostError{r.Window, err}
	}
	defer res.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	switch {
	case res.StatusCode < http.StatusMultipleChoices:
		return nil
	case res.StatusCode == http.StatusConflict || res.StatusCode == http.StatusPreconditionFailed:
		return &RejectedError{r.Window, res.StatusCode, strings.TrimSpace(string(detail))}
	}
	return &LostError{r.Window, fmt.Errorf("status %d", res.StatusCode)}
}

// Fetch implements [Reader].
func (c *Client) Fetch(ctx context.Context, id window.ID) (Report, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathPrefix+url.PathEscape(string(id)), nil)
	if err != nil {
		return Report{}, false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Report{}, false, &LostError{id, err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return Report{}, false, nil
	}
	if res.StatusCode != http.StatusOK {
		return Report{}, false, &LostError{id, fmt.Errorf("status %d", res.StatusCode)}
	}
	var r Report
	if err := json.NewDecoder(res.Body).Decode(&r); err != nil {
		return Report{}, false, &LostError{id, err}
	}
	return r, true, nil
}
