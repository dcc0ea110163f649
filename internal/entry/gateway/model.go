package gateway

import (
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"go.opentelemetry.io/otel/propagation"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/engine/bodybuffer"
	"shallotramp/internal/entry/admission"
	"shallotramp/internal/traffic/request"
)

const (
	// bytesPerToken is used to estimate the number of prompt tokens from the size of the body.
	bytesPerToken = 4
	// defaultAttempts is the maximum number of attempts for an idempotent request whose route sets none.
	defaultAttempts = 3
)

// Request headers in which a caller chooses a class and a timeout. The timeout is a number of seconds or a Go
// duration.
const (
	classHeader    = "X-Request-Class"
	deadlineHeader = "X-Request-Timeout"
)

var propagator = propagation.TraceContext{}

// handle returns a handler that fills in the rest of the request with parse and then serves it.
func (g *Gateway) handle(parse func(*call) *Fault) echo.HandlerFunc {
	return func(ec echo.Context) error {
		c, f := g.newCall(ec)
		defer c.releaseBody()
		if f == nil {
			f = parse(c)
		}
		if f != nil {
			f.write(ec.Response(), c.req.ID)
			return nil
		}
		g.serve(c)
		return nil
	}
}

// releaseBody gives the memory of the body back.
func (c *call) releaseBody() {
	if c.callerBody != nil {
		c.callerBody.Release()
	}
}

// newCall authenticates a request and reads its body. The returned call has a request id even if there is a Fault.
func (g *Gateway) newCall(ec echo.Context) (*call, *Fault) {
	now := time.Now()
	r := ec.Request()
	r = r.WithContext(propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header)))
	c := &call{w: ec.Response(), r: r, req: &request.Request{ID: newID(), Arrived: now, Zone: g.zone}}
	c.snap = g.holder.Current()
	if c.snap == nil {
		return c, &Fault{Kind: NotReady, Code: "no_release", Message: "this host has no configuration yet", Remedy: "retry on another host", RetryAfter: time.Second}
	}
	secret, k, f := g.authenticate(r, c.snap, now)
	if f != nil {
		return c, f
	}
	if k != nil {
		c.secret, c.keyDigest = secret, k.Digest
		c.req.Organisation, c.req.KeyName = k.Organisation, k.Name
	}
	if f := g.readBody(ec, c); f != nil {
		return c, f
	}
	if containsSecret(secret, r.URL, c.body) {
		return c, &keyInRequestFault
	}
	return c, nil
}

// readBody reads the body within the limits and the memory for what callers send.
func (g *Gateway) readBody(ec echo.Context, c *call) *Fault {
	rc := http.NewResponseController(ec.Response())
	_ = rc.SetReadDeadline(time.Now().Add(g.limits.ReadTimeout))
	c.callerBody = g.callerShare.NewBody(func() { _ = rc.SetReadDeadline(time.Now()) })
	err := error(bodybuffer.ErrTooLarge)
	if ec.Request().ContentLength <= g.limits.MaxBodyBytes {
		err = c.callerBody.ReadAll(ec.Request().Body, g.limits.MaxBodyBytes)
	}
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		c.body = c.callerBody.Bytes()
		return nil
	}
	ec.Response().Header().Set("Connection", "close") // The rest of the body is not read.
	kind, f := admission.LateBody, &Fault{Kind: InvalidRequest, Code: "bad_body", Message: "the body could not be read", Remedy: "send a complete body with a correct length or chunked encoding"}
	switch {
	case errors.Is(err, bodybuffer.ErrTooLarge):
		kind, f = admission.BodyTooLarge, &Fault{Kind: TooLarge, Code: "body_too_large", Message: "the body is larger than " + strconv.FormatInt(g.limits.MaxBodyBytes, 10) + " bytes", Remedy: "send a smaller body"}
	case errors.Is(err, bodybuffer.ErrNoMemory):
		kind, f = admission.NoBodyMemory, &Fault{Kind: Overloaded, Code: "no_memory", Message: "the host has no memory left for a body of this size", Remedy: "retry after the time in Retry-After", RetryAfter: time.Second}
	case errors.Is(err, bodybuffer.ErrEvicted):
		kind, f = admission.SlowBody, &Fault{Kind: Overloaded, Code: "slow_body", Message: "the body did not come on while others needed its memory", Remedy: "send the body without pauses", RetryAfter: time.Second}
	}
	from, _ := netip.ParseAddrPort(ec.Request().RemoteAddr)
	g.refused(kind, from.Addr())
	return f
}

// parseModelRequest fills in the request from the body of a model request.
func (g *Gateway) parseModelRequest(c *call) *Fault {
	if !gjson.ValidBytes(c.body) {
		return &Fault{Kind: InvalidRequest, Code: "bad_json", Message: "the body is not valid JSON", Remedy: "send one JSON object"}
	}
	parsed := gjson.ParseBytes(c.body)
	model := parsed.Get("model")
	if !parsed.IsObject() || model.Type != gjson.String {
		return &Fault{Kind: InvalidRequest, Code: "missing_model", Message: `the body names no "model"`, Remedy: "set it to a model that GET /v1/models lists"}
	}
	route, ok := c.snap.ModelRoute(model.String())
	if !ok {
		return &Fault{Kind: UnknownTarget, Code: "unknown_model", Message: "the model is unknown", Remedy: "use one of GET /v1/models"}
	}
	requestedClass := c.r.Header.Get(classHeader)
	if t := parsed.Get("service_tier").String(); requestedClass == "" && t != "" && t != "auto" && t != "default" {
		requestedClass = t
	}
	if f := g.resolveRoute(c, route, requestedClass); f != nil {
		return f
	}
	c.req.Model = model.String()
	c.req.Streaming = parsed.Get("stream").Bool()
	c.req.PromptTokens = len(c.body)/bytesPerToken + 1
	c.req.MaxTokens = int(max(parsed.Get("max_tokens").Int(), parsed.Get("max_completion_tokens").Int()))
	c.req.Fingerprint = xxhash.Sum64(c.body)
	c.req.Prefix = prefixHashes(c.body, parsed)
	c.req.Parts = messageParts(parsed)
	c.response.wantsUsage = parsed.Get("stream_options.include_usage").Bool()
	return nil
}

// resolveRoute checks the permission and the class and fills in the fields of the request that depend on the route,
// the key and the class.
func (g *Gateway) resolveRoute(c *call, route *object.RouteSpec, requestedClass string) *Fault {
	var k *object.KeySpec
	if c.keyDigest != "" {
		k, _ = c.snap.KeyByDigest(c.keyDigest, c.req.Arrived)
	}
	if f := checkPermission(route, k); f != nil {
		return f
	}
	class, ok := c.snap.ClassFor(route, k, requestedClass)
	if !ok {
		return &Fault{Kind: Forbidden, Code: "class_not_allowed", Message: "the API key or the route does not allow the requested class", Remedy: "omit the class or use one of: " + strings.Join(route.Classes, ", ")}
	}
	c.req.Route, c.req.Pool = route.Name, route.Pool
	c.req.Adapter, c.req.Version = route.Adapter, route.Version
	c.req.Class, c.req.Tier = class.Name, class.Tier
	c.req.Idempotent = route.Idempotent
	c.req.Attempts = maxAttempts(route)
	timeout := class.Deadline.Or(object.DefaultDeadline)
	if header := c.r.Header.Get(deadlineHeader); header != "" {
		d, ok := parseTimeout(header)
		if !ok {
			return &Fault{Kind: InvalidRequest, Code: "bad_timeout", Message: deadlineHeader + " is not a positive time", Remedy: "send a number of seconds or a duration such as 30s"}
		}
		timeout = min(timeout, d)
	}
	c.req.Deadline = c.req.Arrived.Add(timeout)
	return nil
}

func maxAttempts(r *object.RouteSpec) int {
	switch {
	case !r.Idempotent:
		return 1
	case r.Retry.Attempts > 0:
		return r.Retry.Attempts
	}
	return defaultAttempts
}

func parseTimeout(s string) (time.Duration, bool) {
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		d := time.Duration(n * float64(time.Second))
		return d, d > 0
	}
	d, err := time.ParseDuration(s)
	return d, err == nil && d > 0
}

// maxMessageParts bounds the messages of a prompt that are parts of it.
const maxMessageParts = 64

// messageParts returns a part for each message of a conversation. Conversations share messages, such as the system
// prompt, and all but the last message with the earlier requests of the same conversation.
func messageParts(v gjson.Result) []request.Part {
	messages := v.Get("messages").Array()
	if len(messages) > maxMessageParts {
		messages = append(messages[:maxMessageParts-1:maxMessageParts-1], messages[len(messages)-1])
	}
	parts := make([]request.Part, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, request.Part{ID: xxhash.Sum64String(m.Raw), Tokens: len(m.Raw)/bytesPerToken + 1})
	}
	return parts
}

// prefixHashes returns the hashes of the leading blocks of the prompt.
func prefixHashes(body []byte, v gjson.Result) []uint64 {
	text := v.Get("messages").Raw
	if text == "" {
		text = v.Get("prompt").Raw
	}
	if text == "" {
		text = string(body)
	}
	return request.PrefixOf(text)
}

// backendBody returns the body for the backend server. It sets the priority and, for a stream, asks for usage in each
// event. To resume a broken stream, it adds the text that the caller already has, so that the engine continues it.
func (c *call) backendBody() ([]byte, error) {
	b := c.body
	var err error
	set := func(path string, v any) {
		if err == nil {
			b, err = sjson.SetBytes(b, path, v)
		}
	}
	set("priority", c.req.Tier)
	if c.req.Streaming {
		set("stream_options.include_usage", true)
		set("stream_options.continuous_usage_stats", true)
	}
	if c.response.tokens == 0 || err != nil {
		return b, err
	}
	v := gjson.ParseBytes(c.body)
	if v.Get("messages").Exists() {
		set("messages.-1", map[string]string{"role": "assistant", "content": string(c.response.text)})
		set("continue_final_message", true)
		set("add_generation_prompt", false)
	} else {
		set("prompt", v.Get("prompt").String()+string(c.response.text))
	}
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if n := v.Get(field).Int(); n > 0 {
			set(field, max(1, n-int64(c.response.tokens)))
		}
	}
	return b, err
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models that the caller may use, for its API key.
func (g *Gateway) listModels(ec echo.Context) ([]modelEntry, *Fault) {
	snap := g.holder.Current()
	if snap == nil {
		return nil, &Fault{Kind: NotReady, Code: "no_release", Message: "this host has no configuration yet", Remedy: "retry on another host"}
	}
	_, k, f := g.authenticate(ec.Request(), snap, time.Now())
	if f != nil {
		return nil, f
	}
	out := []modelEntry{}
	for _, m := range snap.Models(k) {
		out = append(out, modelEntry{ID: m, Object: "model", OwnedBy: "shallotramp"})
	}
	return out, nil
}

func (g *Gateway) serveModels(ec echo.Context) error {
	list, f := g.listModels(ec)
	if f != nil {
		f.write(ec.Response(), newID())
		return nil
	}
	return ec.JSON(http.StatusOK, struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", list})
}

func (g *Gateway) serveModel(ec echo.Context) error {
	list, f := g.listModels(ec)
	if f != nil {
		f.write(ec.Response(), newID())
		return nil
	}
	for _, m := range list {
		if m.ID == ec.Param("model") {
			return ec.JSON(http.StatusOK, m)
		}
	}
	(&Fault{Kind: UnknownTarget, Code: "unknown_model", Message: "the model is unknown", Remedy: "use one of GET /v1/models"}).write(ec.Response(), newID())
	return nil
}
