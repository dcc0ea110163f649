// Package ordering sends orders: to the platform's interface that starts and stops
// backend servers by availability zone, and to backend servers that load models
// or change role. Both take an order under a name, carry it out once, and tell
// whether they did. Some check the fencing number, others ignore it.
package ordering

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"shallotramp/internal/capacity/order"
)

// FenceHeader carries the sender's fencing number.
const FenceHeader = "X-Fencing-Number"

// HolderHeader names the sender.
const HolderHeader = "X-Order-Holder"

// PathPrefix is where orders are put, by their names.
const PathPrefix = "/orders/"

// ServersPath is where the ordering interface lists the backend servers that it runs or starts.
const ServersPath = "/servers"

// maxListBytes bounds the list of servers.
const maxListBytes = 4 << 20

// Server is one backend server that the platform runs, or starts.
type Server struct {
	Name        string
	Pool        string
	Zone        string
	Address     netip.AddrPort
	Price       float64
	Reclaimable bool
	// Starting servers take no work yet.
	Starting bool
}

// List returns the servers of the ordering interface at base.
func (c *Client) List(ctx context.Context, base string) ([]Server, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+ServersPath, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the ordering interface answered with status %d to the list of servers; retry", res.StatusCode)
	}
	var out []Server
	return out, json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&out)
}

// maxDetailBytes bounds what is kept of an answer.
const maxDetailBytes = 4 << 10

// Client sends orders over HTTP.
type Client struct {
	resolve func(receiver string) (base string, ok bool)
	http    *http.Client
}

// NewClient returns a Client that finds the base URL of a receiver by resolve.
func NewClient(resolve func(receiver string) (base string, ok bool)) *Client {
	return &Client{resolve, &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Send sends the intent's order once; ctx bounds it. The detail tells what the receiver answered.
func (c *Client) Send(ctx context.Context, in order.Intent) (result order.Result, detail string) {
	b, err := json.Marshal(in.Order)
	if err != nil {
		return order.Rejected, err.Error()
	}
	req, err := c.request(ctx, http.MethodPut, in, b)
	if err != nil {
		return order.Rejected, err.Error()
	}
	// The transport must not send a second time by itself: the lease was checked for one send.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(in.Fence, 10))
	req.Header.Set(HolderHeader, in.Holder)
	res, err := c.http.Do(req)
	if err != nil {
		return order.Unknown, err.Error()
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	return resultOf(res.StatusCode), strings.TrimSpace(string(text))
}

func resultOf(status int) order.Result {
	switch {
	case status < http.StatusMultipleChoices:
		return order.Done
	case status == http.StatusPreconditionFailed:
		return order.Stale
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		return order.Unknown
	}
	return order.Rejected
}

// Applied asks whether the receiver carried the intent out.
func (c *Client) Applied(ctx context.Context, in order.Intent) (bool, error) {
	req, err := c.request(ctx, http.MethodGet, in, nil)
	if err != nil {
		return false, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotFound:
		return false, nil
	}
	return false, fmt.Errorf("receiver %s answered with status %d; retry", in.Order.Receiver, res.StatusCode)
}

// UnknownReceiverError is an order to a receiver without an address.
type UnknownReceiverError struct{ Receiver string }

func (e *UnknownReceiverError) Error() string {
	return fmt.Sprintf("receiver %s has no address; add the backend server to the configuration or set the ordering interface's address", e.Receiver)
}

func (c *Client) request(ctx context.Context, method string, in order.Intent, body []byte) (*http.Request, error) {
	base, ok := c.resolve(in.Order.Receiver)
	if !ok {
		return nil, &UnknownReceiverError{in.Order.Receiver}
	}
	return http.NewRequestWithContext(ctx, method, base+PathPrefix+url.PathEscape(in.Name), bytes.NewReader(body))
}
