// Package ordering sends orders to two kinds of receivers: the platform's ordering interface, which starts and stops
// backend servers by availability zone, and backend servers, which load models or change their role. Both accept an
// order under a name, carry it out only once, and report whether they have done so. Some receivers check the fencing
// number, others ignore it. The package order decides when an order is sent; its intents hold an order and its name.
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
	"shallotramp/internal/provider/transport"
)

// FenceHeader is the header with the sender's fencing number.
const FenceHeader = "X-Fencing-Number"

// HolderHeader is the header with the name of the process that sends the order as holder of the orders lease.
const HolderHeader = "X-Order-Holder"

// PathPrefix is the URL path under which orders are put, followed by the order's name.
const PathPrefix = "/orders/"

// ServersPath is the URL path at which the ordering interface lists the backend servers that run or start.
const ServersPath = "/servers"

// maxListBytes limits the size of the list of servers.
const maxListBytes = 4 << 20

// Server is a backend server that the platform runs or starts.
type Server struct {
	Name        string
	Pool        string
	Zone        string
	Address     netip.AddrPort
	Price       float64
	Reclaimable bool
	// Starting is set while the server does not accept requests yet.
	Starting bool
}

// List returns the servers of the ordering interface with the base URL base.
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
		return nil, fmt.Errorf("cannot list the servers: the ordering interface responded with status %d; retry", res.StatusCode)
	}
	var out []Server
	return out, json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&out)
}

// maxDetailBytes limits the part of a response body that is kept.
const maxDetailBytes = 4 << 10

// Client sends orders over HTTP.
type Client struct {
	resolve func(receiver string) (base string, ok bool)
	http    *http.Client
}

// NewClient returns a Client that calls resolve for the base URL of a receiver.
func NewClient(resolve func(receiver string) (base string, ok bool)) *Client {
	return &Client{resolve, &http.Client{Transport: transport.Transport{Transport: &http.Transport{
		DialContext: transport.Dial(&net.Dialer{Timeout: time.Second}),
	}}}}
}

// Send sends the intent's order once, until ctx ends. The detail is the receiver's response or the error.
func (c *Client) Send(ctx context.Context, in order.Intent) (result order.Result, detail string) {
	b, err := json.Marshal(in.Order)
	if err != nil {
		return order.Rejected, err.Error()
	}
	req, err := c.request(ctx, http.MethodPut, in, b)
	if err != nil {
		return order.Rejected, err.Error()
	}
	// Without GetBody the transport cannot retry the request: the lease was checked for only one attempt.
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
	return resultFromStatus(res.StatusCode), strings.TrimSpace(string(text))
}

func resultFromStatus(status int) order.Result {
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

// Applied asks the receiver whether it has carried out the intent's order.
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
	return false, fmt.Errorf("cannot read the state of an order: receiver %s responded with status %d; retry", in.Order.Receiver, res.StatusCode)
}

// UnknownReceiverError reports an order to a receiver whose address is unknown.
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
