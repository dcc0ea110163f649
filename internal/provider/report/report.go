// Package report sends usage reports to the platform. The report of a usage window is idempotent: sending it again
// changes nothing.
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

	"shallotramp/internal/provider/transport"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

// FenceHeader is the header with the reporter's fencing number.
const FenceHeader = "X-Fencing-Number"

// PathPrefix is the URL path under which windows are reported, followed by the window's ID.
const PathPrefix = "/usage/windows/"

// maxReportBytes limits the size of a report that is read back.
const maxReportBytes = 32 << 20

// maxDetailBytes limits the part of a response body that is read for an error.
const maxDetailBytes = 64 << 10

// Report is the usage of one window as it is sent.
type Report struct {
	Window     window.ID
	Start, End time.Time
	// Figures holds the usage of each organisation, including that in Late.
	Figures map[string]meter.Usage
	// Late is the part of Figures that belongs to earlier windows and was counted after they were frozen.
	Late []window.LateUsage `json:",omitempty"`
	// Digest is the hash of the frozen figures, see [window.Window]. Sender is the name of the reporter.
	Digest string
	Sender string
}

// FromWindow returns the report of the frozen window w.
func FromWindow(w *window.Window) Report {
	return Report{
		Window: w.ID, Start: w.ID.Start(), End: w.EndTime(),
		Figures: w.Total(), Late: w.Late, Digest: w.Digest, Sender: w.Sender.Name,
	}
}

// Reader reads the reports that the platform has accepted.
type Reader interface {
	// Fetch returns the report that the platform has of a window, or false if there is none.
	Fetch(ctx context.Context, id window.ID) (Report, bool, error)
}

// RejectedError reports that the platform rejected a report, because it has different figures for the window or has
// seen a higher fencing number.
type RejectedError struct {
	Window window.ID
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("the platform rejected the report of window %s with status %d (%s); compare the window object with the platform's report before sending it again",
		e.Window, e.Status, e.Detail)
}

// UnconfirmedError reports that the platform did not confirm a call. If the call sent a report, the platform may have
// accepted it.
type UnconfirmedError struct {
	Window window.ID
	Cause  error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("the platform did not confirm the report of window %s (%v); send the same figures again", e.Window, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// Client sends reports over HTTP.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the platform's report interface at base.
func NewClient(base string) *Client {
	return &Client{strings.TrimSuffix(base, "/"), &http.Client{Transport: transport.Transport{Transport: &http.Transport{
		DialContext: transport.Dial(&net.Dialer{Timeout: 2 * time.Second}),
	}}}}
}

// Send sends the report of a window once, until ctx ends. It returns nil if the platform has accepted the report, now
// or earlier.
func (c *Client) Send(ctx context.Context, r Report, fence uint64) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+PathPrefix+url.PathEscape(string(r.Window)), bytes.NewReader(b))
	if err != nil {
		return err
	}
	// Without GetBody the transport cannot retry the request: the lease was checked for only one attempt.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(fence, 10))
	res, err := c.http.Do(req)
	if err != nil {
		return &UnconfirmedError{r.Window, err}
	}
	defer res.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	switch {
	case res.StatusCode < http.StatusMultipleChoices:
		return nil
	case res.StatusCode == http.StatusConflict || res.StatusCode == http.StatusPreconditionFailed:
		return &RejectedError{r.Window, res.StatusCode, strings.TrimSpace(string(detail))}
	}
	return &UnconfirmedError{r.Window, fmt.Errorf("status %d", res.StatusCode)}
}

// Fetch implements [Reader].
func (c *Client) Fetch(ctx context.Context, id window.ID) (Report, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+PathPrefix+url.PathEscape(string(id)), nil)
	if err != nil {
		return Report{}, false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Report{}, false, &UnconfirmedError{id, err}
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return Report{}, false, nil
	}
	if res.StatusCode != http.StatusOK {
		return Report{}, false, &UnconfirmedError{id, fmt.Errorf("status %d", res.StatusCode)}
	}
	var r Report
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&r); err != nil {
		return Report{}, false, &UnconfirmedError{id, err}
	}
	return r, true, nil
}
