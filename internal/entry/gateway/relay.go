package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

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

// relayStream passes on a stream event by event. A stream that ends without its last event is broken.
func (g *Gateway) relayStream(ctx context.Context, c *call, answer *http.Response, res *request.Result) *Fault {
	_, span := g.tracer.Start(ctx, "relay")
	defer span.End()
	s := &stream{g: g, c: c, res: res, rc: http.NewResponseController(c.w), from: answer.Body, before: c.answer.tokens}
	res.Outcome = request.Broken
	for ev, err := range sse.Read(s, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			break
		}
		if ev.Data == endOfStream {
			return s.finish()
		}
		if s.event(ev.Data) != nil {
			// The caller is gone or reads too slowly: closing the body cancels the work on the engine.
			res.Outcome = request.Cancelled
			return nil
		}
	}
	if s.writeErr != nil {
		res.Outcome = request.Cancelled
	}
	return nil
}

// stream is one attempt's part of a streamed answer. It is the reader of the engine's events:
// what was written to the caller is flushed only before a read that may block, so that events
// which come together go out together and none waits for the next.
type stream struct {
	g    *Gateway
	c    *call
	res  *request.Result
	rc   *http.ResponseController
	from io.Reader
	// before is how many tokens the caller had from earlier attempts.
	before int
	// told is how many tokens the decisions know of.
	told int
	// sawFinish tells that the engine gave the reason why the answer is over.
	sawFinish bool
	unflushed bool
	writeErr  error
}

// Read implements [io.Reader] on the engine's events.
func (s *stream) Read(p []byte) (int, error) {
	if err := s.flush(); err != nil {
		return 0, err
	}
	return s.from.Read(p)
}

func (s *stream) flush() error {
	if !s.unflushed || s.writeErr != nil {
		return s.writeErr
	}
	s.unflushed = false
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.g.limits.WriteTimeout))
	s.writeErr = s.rc.Flush()
	return s.writeErr
}

// event passes on one event.
func (s *stream) event(data string) error {
	e := readEvent(data)
	s.usage(e.usage)
	if e.choices == 0 {
		return s.usageEvent(data)
	}
	if !e.plain {
		s.unresumable()
	}
	if s.before > 0 && e.text == "" && !e.finished {
		// The caller got the opening event from the first attempt.
		return nil
	}
	if err := s.send(s.rewrite(data, e)); err != nil {
		return err
	}
	s.sawFinish = s.sawFinish || e.finished
	if e.text != "" {
		s.token(e.text)
	}
	return nil
}

// usage takes the engine's own count, which is exact also when the stream breaks off.
func (s *stream) usage(u gjson.Result) {
	u.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "completion_tokens":
			s.res.OutputTokens = int(v.Num)
		case "prompt_tokens":
			s.res.PromptTokens = int(v.Num)
		case "prompt_tokens_details":
			s.res.CachedTokens = int(v.Get("cached_tokens").Num)
		}
		return true
	})
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
	if s.c.answer.first == 0 {
		s.c.answer.first = s.res.FirstToken
	}
	if len(s.c.answer.text)+len(text) > maxResumeBytes {
		s.unresumable()
	} else {
		s.c.answer.text = append(s.c.answer.text, text...)
	}
	if s.res.Delivered-s.told >= progressTokens {
		s.g.loop.Progress(s.c.req.ID, s.res.Delivered-s.told)
		s.told = s.res.Delivered
	}
}

// rewrite gives a resumed stream the id of the first attempt, and removes usage that the caller did not ask for.
func (s *stream) rewrite(data string, e event) string {
	if e.usage.Exists() {
		data = without(data, "usage", e.usage)
	}
	if s.c.answer.id == "" {
		s.c.answer.id = e.id.String()
	} else if s.before > 0 {
		data, _ = sjson.Set(data, "id", s.c.answer.id)
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

// send writes one event to the caller.
func (s *stream) send(data string) error {
	if !s.c.answer.begun {
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.c.w.WriteHeader(http.StatusOK)
		s.c.answer.begun = true
		s.c.answer.prompt = s.res.PromptTokens
	}
	if !s.unflushed {
		_ = s.rc.SetWriteDeadline(time.Now().Add(s.g.limits.WriteTimeout))
	}
	s.unflushed = true
	for _, part := range [...]string{"data: ", data, "\n\n"} {
		if _, err := io.WriteString(s.c.w, part); err != nil {
			s.writeErr = err
			return err
		}
	}
	return nil
}

// finish ends a whole stream. One that never told why it finished is broken.
func (s *stream) finish() *Fault {
	if !s.sawFinish {
		return nil
	}
	if s.send(endOfStream) != nil || s.flush() != nil {
		s.res.Outcome = request.Cancelled
		return nil
	}
	s.res.Outcome = request.Completed
	return nil
}

// unresumable notes that the answer cannot be resumed, so that it must not be preempted either.
func (s *stream) unresumable() {
	s.c.answer.unresumable = true
	s.c.keep()
}
