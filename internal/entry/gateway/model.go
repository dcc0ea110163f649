package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"go.opentelemetry.io/otel/propagation"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/traffic/request"
)

const (
	// bytesPerToken estimates the tokens of a prompt from its size.
	bytesPerToken = 4
	// defaultAttempts is the number of tries for idempotent work whose route sets none.
	defaultAttempts = 3
)

// Headers by which a caller chooses a class and a time limit, which is a number of seconds or a duration.
const (
	classHeader    = "X-Request-Class"
	deadlineHeader = "X-Request-Timeout"
)

var propagator = propagation.TraceContext{}

// handle returns the handler of requests whose target read fills in.
func (g *Gateway) handle(read func(*call) *Fault) echo.HandlerFunc {
	return func(ec echo.Context) error {
		c, f := g.newCall(ec)
		if f == nil {
			f = read(c)
		}
		if f != nil {
			f.write(ec.Response(), c.req.ID)
			return nil
		}
		g.serve(c)
		return nil
	}
}

// newCall reads and authenticates a request. The call has an id even with a fault.
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
		c.secret, c.digest = secret, k.Digest
		c.req.Organisation, c.req.KeyName = k.Organisation, k.Name
	}
	body, f := g.readBody(ec)
	if f != nil {
		return c, f
	}
	c.body = body
	if leaks(secret, r.URL, body) {
		return c, &leakFault
	}
	return c, nil
}

func (g *Gateway) readBody(ec echo.Context) ([]byte, *Fault) {
	rc := http.NewResponseController(ec.Response())
	_ = rc.SetReadDeadline(time.Now().Add(g.limits.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(ec.Response(), ec.Request().Body, g.limits.MaxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, &Fault{Kind: TooLarge, Code: "body_too_large", Message: "the body is larger than " + strconv.FormatInt(g.limits.MaxBodyBytes, 10) + " bytes", Remedy: "send a smaller body"}
	}
	return nil, &Fault{Kind: InvalidRequest, Code: "bad_body", Message: "the body could not be read", Remedy: "send a complete body with a correct length or chunked encoding"}
}

// readModel fills in what the body of a model request says.
func (g *Gateway) readModel(c *call) *Fault {
	if !gjson.ValidBytes(c.body) {
		return &Fault{Kind: InvalidRequest, Code: "bad_json", Message: "the body is not valid JSON", Remedy: "send one JSON object"}
	}
	v := gjson.ParseBytes(c.body)
	model := v.Get("model")
	if !v.IsObject() || model.Type != gjson.String {
		return &Fault{Kind: InvalidRequest, Code: "missing_model", Message: `the body names no "model"`, Remedy: "set it to one of GET /v1/models"}
	}
	route, ok := c.snap.ModelRoute(model.String())
	if !ok {
		return &Fault{Kind: UnknownTarget, Code: "unknown_model", Message: "the model is unknown", Remedy: "use one of GET /v1/models"}
	}
	asked := c.r.Header.Get(classHeader)
	if t := v.Get("service_tier").String(); asked == "" && t != "" && t != "auto" && t != "default" {
		asked = t
	}
	if f := g.target(c, route, asked); f != nil {
		return f
	}
	c.req.Model = model.String()
	c.req.Streaming = v.Get("stream").Bool()
	c.req.PromptTokens = len(c.body)/bytesPerToken + 1
	c.req.MaxTokens = int(max(v.Get("max_tokens").Int(), v.Get("max_completion_tokens").Int()))
	c.req.Fingerprint = xxhash.Sum64(c.body)
	c.req.Prefix = prefixOf(c.body, v)
	c.answer.wantsUsage = v.Get("stream_options.include_usage").Bool()
	return nil
}

// target fills in what follows from the route, the key and the class asked for.
func (g *Gateway) target(c *call, route *object.RouteSpec, asked string) *Fault {
	var k *object.KeySpec
	if c.digest != "" {
		k, _ = c.snap.KeyOf(c.digest, c.req.Arrived)
	}
	if f := permit(route, k); f != nil {
		return f
	}
	class, ok := c.snap.ClassFor(route, k, asked)
	if !ok {
		return &Fault{Kind: Forbidden, Code: "class_not_allowed", Message: "the key and the route allow no such class", Remedy: "leave the class out or use one of: " + strings.Join(route.Classes, ", ")}
	}
	c.req.Route, c.req.Pool = route.Name, route.Pool
	c.req.Adapter, c.req.Version = route.Adapter, route.Version
	c.req.Class, c.req.Tier = class.Name, class.Tier
	c.req.Idempotent = route.Idempotent
	c.req.Attempts = attemptsOf(route)
	limit := class.Deadline.Or(object.DefaultDeadline)
	if h := c.r.Header.Get(deadlineHeader); h != "" {
		d, ok := parseTimeout(h)
		if !ok {
			return &Fault{Kind: InvalidRequest, Code: "bad_timeout", Message: deadlineHeader + " is no positive time", Remedy: "send seconds or a duration such as 30s"}
		}
		limit = min(limit, d)
	}
	c.req.Deadline = c.req.Arrived.Add(limit)
	return nil
}

func attemptsOf(r *object.RouteSpec) int {
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

// prefixOf hashes the leading blocks of a prompt.
func prefixOf(body []byte, v gjson.Result) []uint64 {
	text := v.Get("messages").Raw
	if text == "" {
		text = v.Get("prompt").Raw
	}
	if text == "" {
		text = string(body)
	}
	return request.PrefixOf(text)
}

// bodyFor returns the body for a backend server: with its priority, with usage in each event
// of a stream, and continuing a broken stream after what the caller has.
func (c *call) bodyFor() ([]byte, error) {
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
	if c.answer.tokens == 0 || err != nil {
		return b, err
	}
	v := gjson.ParseBytes(c.body)
	if v.Get("messages").Exists() {
		set("messages.-1", map[string]string{"role": "assistant", "content": string(c.answer.text)})
		set("continue_final_message", true)
		set("add_generation_prompt", false)
	} else {
		set("prompt", v.Get("prompt").String()+string(c.answer.text))
	}
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if n := v.Get(field).Int(); n > 0 {
			set(field, max(1, n-int64(c.answer.tokens)))
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

// listModels returns the models that the caller may use.
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

func (g *Gateway) serveOneModel(ec echo.Context) error {
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
