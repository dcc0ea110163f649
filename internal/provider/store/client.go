package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"shallotramp/internal/provider/transport"
)

// Conventions of the paths and bodies of the store's API. The fake of the platform uses them too.
const (
	Group   = "shallotramp.example"
	Version = "v1"
	// Namespace holds all objects of one deployment.
	Namespace = "default"
)

// watchBufferEvents is the number of events buffered for a slow reader of a watch.
const watchBufferEvents = 64

// WireMetadata is the metadata of an object in JSON bodies.
type WireMetadata struct {
	Name            string `json:"name"`
	Namespace       string `json:"namespace,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// WireObject is an object in JSON bodies.
type WireObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   WireMetadata    `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// WireList is the body of a list response.
type WireList struct {
	APIVersion string       `json:"apiVersion"`
	Kind       string       `json:"kind"`
	Metadata   WireMetadata `json:"metadata"`
	Items      []WireObject `json:"items"`
}

// WireEvent is one line of a watch response.
type WireEvent struct {
	Type   string     `json:"type"`
	Object WireObject `json:"object"`
}

// WireStatus is the body of a response without an object, such as an error.
type WireStatus struct {
	Kind    string `json:"kind"`
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

// ToWire converts o to its JSON form.
func ToWire(o Object) WireObject {
	return WireObject{
		APIVersion: Group + "/" + Version,
		Kind:       o.Kind,
		Metadata:   WireMetadata{Name: o.Name, Namespace: Namespace, ResourceVersion: o.Version},
		Spec:       o.Spec,
	}
}

// FromWire converts w from its JSON form.
func FromWire(w WireObject) Object {
	return Object{Kind: w.Kind, Name: w.Metadata.Name, Version: w.Metadata.ResourceVersion, Spec: w.Spec}
}

// CollectionPath returns the URL path of all objects of a kind.
func CollectionPath(kind string) string {
	return fmt.Sprintf("/apis/%s/%s/namespaces/%s/%ss", Group, Version, Namespace, strings.ToLower(kind))
}

// Client calls the platform's store over HTTP. It counts its requests.
type Client struct {
	baseURL  string
	http     *http.Client
	requests atomic.Int64
	// eras has the newest era of a version in a response, see [FormatVersion].
	eras Eras
	// tokenFile is the path of the file with the bearer token. If it is empty, no token is sent.
	tokenFile string
}

// Option configures a [Client].
type Option func(*Client)

// WithTransport sets the transport, for tests that inject network faults.
func WithTransport(rt http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = rt }
}

// WithTokenFile sends the content of a file as the bearer token. The file is read for each request, so that a rotated
// token takes effect without a restart.
func WithTokenFile(path string) Option { return func(c *Client) { c.tokenFile = path } }

// WithRootCAs sets the root certificates with which the platform's certificate is verified.
func WithRootCAs(pool *x509.CertPool) Option {
	return func(c *Client) {
		if t, ok := c.http.Transport.(transport.Transport); ok {
			t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		}
	}
}

const (
	// maxResponseBytes bounds a response, which is a page of objects at most, and maxHeaderBytes its header.
	maxResponseBytes = 32 << 20
	maxHeaderBytes   = 64 << 10
)

// NewClient returns a client of the platform's store with the base URL base, such as "http://10.0.0.2:6443".
func NewClient(base string, opts ...Option) *Client {
	c := &Client{
		baseURL: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport.Transport{Transport: &http.Transport{
			DialContext:            transport.Dial(&net.Dialer{Timeout: 2 * time.Second}),
			MaxIdleConnsPerHost:    32,
			IdleConnTimeout:        time.Minute,
			ResponseHeaderTimeout:  10 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Calls returns the number of requests sent. A watch counts as one.
func (c *Client) Calls() int64 { return c.requests.Load() }

// Era implements [Restorable].
func (c *Client) Era() (era int64, since time.Time) { return c.eras.Era() }

// objectCall makes a call that returns an object.
func (c *Client) objectCall(ctx context.Context, method, path, kind, name string, in any) (Object, error) {
	var w WireObject
	err := c.call(ctx, method, path, kind, name, in, &w)
	c.eras.Note(EraOf(w.Metadata.ResourceVersion))
	return FromWire(w), err
}

// Get implements [Store].
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.objectCall(ctx, http.MethodGet, CollectionPath(kind)+"/"+url.PathEscape(name), kind, name, nil)
}

// List implements [Store].
func (c *Client) List(ctx context.Context, kind string) ([]Object, string, error) {
	var body json.RawMessage
	if err := c.call(ctx, http.MethodGet, CollectionPath(kind), kind, "", nil, &body); err != nil {
		return nil, "", err
	}
	items, rest, err := SplitPage(body, "items")
	var l WireList
	if err == nil {
		err = json.Unmarshal(rest, &l)
	}
	if err != nil {
		return nil, "", &Error{Reason: Unavailable, Kind: kind, Cause: err}
	}
	c.eras.Note(EraOf(l.Metadata.ResourceVersion))
	out := make([]Object, 0, len(items))
	for _, raw := range items {
		out = append(out, decodeWireObject(raw, kind))
	}
	return out, l.Metadata.ResourceVersion, nil
}

// decodeWireObject decodes an object of a list. Of an object that cannot be read, such as one that another client wrote, it
// returns the name and the version without the content.
func decodeWireObject(raw json.RawMessage, kind string) Object {
	var w WireObject
	if CheckReadable(raw) == nil && json.Unmarshal(raw, &w) == nil {
		return FromWire(w)
	}
	return Object{
		Kind: kind, Name: gjson.GetBytes(raw, "metadata.name").String(), Version: gjson.GetBytes(raw, "metadata.resourceVersion").String(),
	}
}

// Create implements [Store].
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.objectCall(ctx, http.MethodPost, CollectionPath(o.Kind), o.Kind, o.Name, ToWire(o))
}

// Update implements [Store].
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.objectCall(ctx, http.MethodPut, CollectionPath(o.Kind)+"/"+url.PathEscape(o.Name), o.Kind, o.Name, ToWire(o))
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, o Object) error {
	p := CollectionPath(o.Kind) + "/" + url.PathEscape(o.Name)
	if o.Version != "" {
		p += "?resourceVersion=" + url.QueryEscape(o.Version)
	}
	return c.call(ctx, http.MethodDelete, p, o.Kind, o.Name, nil, nil)
}

// Watch implements [Store].
func (c *Client) Watch(ctx context.Context, kind, name, version string) (<-chan Event, error) {
	q := url.Values{"watch": {"1"}, "allowWatchBookmarks": {"1"}}
	if version != "" {
		q.Set("resourceVersion", version)
	}
	if name != "" {
		q.Set("fieldSelector", "metadata.name="+name)
	}
	res, err := c.send(ctx, http.MethodGet, CollectionPath(kind)+"?"+q.Encode(), kind, name, nil)
	if err != nil {
		return nil, err
	}
	ch := make(chan Event, watchBufferEvents)
	go readWatch(ctx, res.Body, ch)
	return ch, nil
}

// readWatch decodes events from body into ch until the body or ctx ends, or an event is invalid. It closes ch to tell
// the reader that the watch has ended.
func readWatch(ctx context.Context, body io.ReadCloser, ch chan<- Event) {
	defer close(ch)
	defer body.Close()
	dec := json.NewDecoder(body)
	for {
		var w WireEvent
		if dec.Decode(&w) != nil {
			return
		}
		ev, ok := eventFromWire(w)
		if !ok {
			return
		}
		select {
		case ch <- ev:
		case <-ctx.Done():
			return
		}
	}
}

func eventFromWire(w WireEvent) (Event, bool) {
	for t := Added; t <= Bookmark; t++ {
		if strings.EqualFold(t.String(), w.Type) {
			return Event{Type: t, Object: FromWire(w.Object)}, true
		}
	}
	return Event{}, false
}

func (c *Client) call(ctx context.Context, method, path, kind, name string, in, out any) error {
	res, err := c.send(ctx, method, path, kind, name, in)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		if *raw, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes)); err != nil {
			return &Error{Reason: Unavailable, Kind: kind, Name: name, Cause: err}
		}
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out); err != nil {
		return &Error{Reason: Unavailable, Kind: kind, Name: name, Cause: err}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path, kind, name string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, &Error{Reason: Invalid, Kind: kind, Name: name, Cause: err}
		}
		if len(b) > MaxValueBytes {
			return nil, &Error{Reason: TooLarge, Kind: kind, Name: name}
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, &Error{Reason: Invalid, Kind: kind, Name: name, Cause: err}
	}
	req.Header.Set("Accept", "application/json")
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.tokenFile != "" {
		token, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, &Error{Reason: Invalid, Kind: kind, Name: name, Cause: errors.Wrap(err, "cannot read the token file; correct its path or permissions")}
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	c.requests.Add(1)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{Reason: Unavailable, Kind: kind, Name: name, Cause: err}
	}
	if res.StatusCode < 300 {
		return res, nil
	}
	defer res.Body.Close()
	return nil, responseError(res, kind, name)
}

func responseError(res *http.Response, kind, name string) error {
	var st WireStatus
	b, _ := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	if json.Unmarshal(b, &st) != nil {
		st.Message = http.StatusText(res.StatusCode)
	}
	e := &Error{Reason: Unavailable, Kind: kind, Name: name}
	if st.Message != "" {
		e.Cause = errors.New(st.Message)
	}
	switch res.StatusCode {
	case http.StatusNotFound:
		e.Reason = NotFound
	case http.StatusConflict:
		e.Reason = Conflict
		if st.Reason == "AlreadyExists" {
			e.Reason = Exists
		}
	case http.StatusRequestEntityTooLarge:
		e.Reason = TooLarge
	case http.StatusGone:
		e.Reason = Expired
	case http.StatusTooManyRequests:
		e.Reason = Throttled
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		e.Reason = Invalid
	}
	return e
}
