package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"shallotramp/internal/traffic/request"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumeBytes bounds the text kept to resume a stream; a longer one is not resumed.
	maxResumeBytes = 256 << 10
	// endOfStream is the last event of a whole stream.
	endOfStream = "[DONE]"
	// progressTokens is how often generated tokens are told to the decisions.
	progressTokens = 16
)

var errSlowReader = errors.New("the caller reads too slowly")

// relayStream passes on a stream event by event. A stream that ends without its last event is broken.
func (g *Gateway) relayStream(ctx context.Context, c *call, answer *http.Response, res *request.Result) *Fault {
	_, span := g.tracer.Start(ctx, "relay")
	defer span.End()
	s := &stream{g: g, c: c, res: res, rc: http.NewResponseController(c.w), before: c.answer.tokens}
	res.Outcome = request.Broken
	for ev, err := range sse.Read(answer.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil
		}
		if ev.Data == endOfStream {
			return s.finish()
		}
		if err := s.event(ev.Data); err != nil {
			// The caller is gone or reads too slowly: closing the body cancels the work on the engine.
			res.Outcome = request.Cancelled
			return nil
		}
	}
	return nil
}

// stream is one attempt's part of a streamed answer.
type stream struct {
	g   *Gateway
	c   *call
	res *request.Result
	rc  *http.ResponseController
	// before is how many tokens the caller had from earlier attempts.
	before int
	// told is how many tokens the decisions know of.
	told int
	// sawFinish tells that the engine gave the reason why the answer is over.
	sawFinish bool
}

// event passes on one event.
func (s *stream) event(data string) error {
	v := gjson.Parse(data)
	s.usage(v.Get("usage"))
	choices := v.Get("choices")
	if len(choices.Array()) == 0 {
		return s.usageEvent(data)
	}
	text, plain := textOf(choices)
	if !plain {
		s.c.answer.unresumable = true
	}
	finished := choices.Get("0.finish_reason").String() != ""
	if s.before > 0 && text == "" && !finished {
		// The caller got the opening event from the first attempt.
		return nil
	}
	if err := s.send(s.rewrite(data, v)); err != nil {
		return err
	}
	s.sawFinish = s.sawFinish || finished
	if text != "" {
		s.token(text)
	}
	return nil
}

// textOf returns the text that an event adds, and whether it holds nothing but text of one choice.
func textOf(choices gjson.Result) (text string, plain bool) {
	first := choices.Get("0")
	if choices.Get("1").Exists() || first.Get("index").Int() != 0 || first.Get("logprobs").IsObject() {
		return first.Get("delta.content").String() + first.Get("text").String(), false
	}
	d := first.Get("delta")
	if d.Get("tool_calls").Exists() || d.Get("function_call").Exists() || d.Get("reasoning_content").String() != "" {
		return d.Get("content").String(), false
	}
	return d.Get("content").String() + first.Get("text").String(), true
}

// usage takes the engine's own count, which is exact also when the stream breaks off.
func (s *stream) usage(u gjson.Result) {
	if !u.IsObject() {
		return
	}
	s.res.OutputTokens = int(u.Get("completion_tokens").Int())
	s.res.PromptTokens = int(u.Get("prompt_tokens").Int())
	s.res.CachedTokens = int(u.Get("prompt_tokens_details.cached_tokens").Int())
}

// token notes that text reached the caller.
func (s *stream) token(text string) {
	s.c.answer.tokens++
	s.res.Delivered++
	if s.res.OutputTokens < s.res.Delivered {
		s.res.OutputTokens = s.res.Delivered
	}
	if s.res.FirstToken == 0 {
		s.res.FirstToken = time.Since(s.c.req.Arrived)
	}
	if len(s.c.answer.text)+len(text) > maxResumeBytes {
		s.c.answer.unresumable = true
	} else {
		s.c.answer.text = append(s.c.answer.text, text...)
	}
	if s.res.Delivered-s.told >= progressTokens {
		s.g.loop.Progress(s.c.req.ID, s.res.Delivered-s.told)
		s.told = s.res.Delivered
	}
}

// rewrite gives a resumed stream the id of the first attempt, and removes usage that the caller did not ask for.
func (s *stream) rewrite(data string, v gjson.Result) string {
	if s.c.answer.id == "" {
		s.c.answer.id = v.Get("id").String()
	} else if s.before > 0 {
		data, _ = sjson.Set(data, "id", s.c.answer.id)
	}
	if v.Get("usage").Exists() {
		data, _ = sjson.Delete(data, "usage")
	}
	return data
}

// usageEvent passes on the event that carries the usage of the whole answer, counted over all attempts.
func (s *stream) usageEvent(data string) error {
	if !s.c.answer.wantsUsage {
		return nil
	}
	if s.before > 0 {
		total := s.before + s.res.OutputTokens
		data, _ = sjson.Set(data, "usage.completion_tokens", total)
		data, _ = sjson.Set(data, "usage.prompt_tokens", s.c.answer.prompt)
		data, _ = sjson.Set(data, "usage.total_tokens", s.c.answer.prompt+total)
		data, _ = sjson.Set(data, "id", s.c.answer.id)
	}
	return s.send(data)
}

// send writes one event to the caller within the time of one write.
func (s *stream) send(data string) error {
	if !s.c.answer.begun {
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.c.w.WriteHeader(http.StatusOK)
		s.c.answer.begun = true
		s.c.answer.prompt = s.res.PromptTokens
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.g.limits.WriteStall))
	buf := make([]byte, 0, len(data)+len("data: \n\n"))
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := s.c.w.Write(buf); err != nil {
		return errors.CombineErrors(errSlowReader, err)
	}
	return s.rc.Flush()
}

// finish ends a whole stream. One that never told why it finished is broken.
func (s *stream) finish() *Fault {
	if !s.sawFinish {
		return nil
	}
	if err := s.send(endOfStream); err != nil {
		s.res.Outcome = request.Cancelled
		return nil
	}
	s.res.Outcome = request.Completed
	return nil
}
