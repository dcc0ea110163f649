package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/tmaxmax/go-sse"

	"shallotramp/internal/engine/eventstream"
	"shallotramp/internal/traffic/request"
)

const (
	// maxEventBytes limits the size of one stream event.
	maxEventBytes = 1 << 20
	// maxResumeBytes limits the text that is kept to resume a stream. A stream with more text is not resumed.
	maxResumeBytes = 256 << 10
	// endOfStream is the data of the last event of a complete stream.
	endOfStream = "[DONE]"
	// progressIntervalTokens is the number of tokens after which progress is reported to the dispatcher.
	progressIntervalTokens = 16
)

// forwardStream forwards a stream event by event. A stream that ends without the endOfStream event is broken.
func (g *Gateway) forwardStream(ctx context.Context, c *call, resp *http.Response, res *request.Result) *Fault {
	_, span := g.tracer.Start(ctx, "relay")
	defer span.End()
	s := &streamForwarder{g: g, c: c, res: res, rc: http.NewResponseController(c.w), body: eventstream.NewReader(resp.Body, nil), priorTokens: c.response.tokens}
	res.Outcome = request.Broken
	for ev, err := range sse.Read(s, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			break
		}
		if ev.Data == endOfStream {
			return s.finish()
		}
		e, ok := parseEvent(ev.Data)
		if !ok {
			g.log.Warn().Str("Server", c.attempt.Server).Str("Request", string(c.req.ID)).Msg("backend server sent bytes in a stream that are no event of an engine; connection closed")
			return nil
		}
		if s.forwardEvent(ev.Data, e) != nil {
			// The caller has disconnected or reads too slowly. The body of the backend response is closed on
			// return, which cancels the generation on the engine.
			res.Outcome = request.Cancelled
			return nil
		}
	}
	if s.writeErr != nil {
		res.Outcome = request.Cancelled
	}
	return nil
}

// streamForwarder forwards the part of a streamed response that comes from one attempt. The events of the engine are
// read through its Read method, which flushes the written events to the caller before each read that may block. So
// events that arrive together are flushed together, and no event waits for the next one.
type streamForwarder struct {
	g    *Gateway
	c    *call
	res  *request.Result
	rc   *http.ResponseController
	body io.Reader
	// priorTokens is the number of tokens that the caller got from earlier attempts.
	priorTokens int
	// reportedTokens is the number of tokens reported to the dispatcher.
	reportedTokens int
	// sawFinishReason is set when the engine has sent a finish reason.
	sawFinishReason bool
	// unflushed is set while written events have not been flushed.
	unflushed bool
	writeErr  error
}

// Read implements [io.Reader] on the body of the backend response.
func (s *streamForwarder) Read(p []byte) (int, error) {
	if err := s.flush(); err != nil {
		return 0, err
	}
	return s.body.Read(p)
}

func (s *streamForwarder) flush() error {
	if !s.unflushed || s.writeErr != nil {
		return s.writeErr
	}
	s.unflushed = false
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.g.limits.WriteTimeout))
	s.writeErr = s.rc.Flush()
	return s.writeErr
}

func (s *streamForwarder) forwardEvent(data string, e streamEvent) error {
	s.readUsage(e.usage)
	if e.choices == 0 {
		return s.forwardUsageEvent(data)
	}
	if !e.textOnly {
		s.markUnresumable()
	}
	if s.priorTokens > 0 && e.text == "" && !e.finished {
		// An event without text opens the stream. The caller already got one from the first attempt.
		return nil
	}
	if err := s.writeEvent(s.rewriteEvent(data, e)); err != nil {
		return err
	}
	s.sawFinishReason = s.sawFinishReason || e.finished
	if e.text != "" {
		s.recordToken(e.text)
	}
	return nil
}

// readUsage reads the token counts of the engine. Each event has them, so they are exact also for a stream
// that breaks.
func (s *streamForwarder) readUsage(u gjson.Result) {
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

// recordToken counts a token that was sent to the caller and keeps its text for a resume.
func (s *streamForwarder) recordToken(text string) {
	s.c.response.tokens++
	s.res.Delivered++
	if s.res.OutputTokens < s.res.Delivered {
		s.res.OutputTokens = s.res.Delivered
	}
	if s.res.FirstToken == 0 {
		s.res.FirstToken = time.Since(s.c.req.Arrived)
	}
	if s.c.response.firstToken == 0 {
		s.c.response.firstToken = s.res.FirstToken
	}
	if len(s.c.response.text)+len(text) > maxResumeBytes {
		s.markUnresumable()
	} else {
		s.c.response.text = append(s.c.response.text, text...)
	}
	if s.res.Delivered-s.reportedTokens >= progressIntervalTokens {
		s.g.dispatcher.Progress(s.c.req.ID, s.res.Delivered-s.reportedTokens)
		s.reportedTokens = s.res.Delivered
	}
}

// rewriteEvent removes the usage, which only the gateway asked for, and sets the id of the first attempt in the events
// of a resumed stream.
func (s *streamForwarder) rewriteEvent(data string, e streamEvent) string {
	if e.usage.Exists() {
		data = deleteField(data, "usage", e.usage)
	}
	if s.c.response.streamID == "" {
		s.c.response.streamID = e.id.String()
	} else if s.priorTokens > 0 {
		data, _ = sjson.Set(data, "id", s.c.response.streamID)
	}
	return data
}

// forwardUsageEvent forwards the usage event at the end of the stream if the caller asked for it. For a resumed stream,
// the output tokens are the sum over all attempts.
func (s *streamForwarder) forwardUsageEvent(data string) error {
	if !s.c.response.wantsUsage {
		return nil
	}
	if s.priorTokens > 0 {
		total := s.priorTokens + s.res.OutputTokens
		data, _ = sjson.Set(data, "usage.completion_tokens", total)
		data, _ = sjson.Set(data, "usage.prompt_tokens", s.c.response.promptTokens)
		data, _ = sjson.Set(data, "usage.total_tokens", s.c.response.promptTokens+total)
		data, _ = sjson.Set(data, "id", s.c.response.streamID)
	}
	return s.writeEvent(data)
}

// writeEvent writes one event to the caller.
func (s *streamForwarder) writeEvent(data string) error {
	if !s.c.response.started {
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.c.w.WriteHeader(http.StatusOK)
		s.c.response.started = true
		s.c.response.promptTokens = s.res.PromptTokens
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

// finish ends the stream after the endOfStream event. A stream without a finish reason counts as broken.
func (s *streamForwarder) finish() *Fault {
	if !s.sawFinishReason {
		return nil
	}
	if s.writeEvent(endOfStream) != nil || s.flush() != nil {
		s.res.Outcome = request.Cancelled
		return nil
	}
	s.res.Outcome = request.Completed
	return nil
}

// markUnresumable marks the response as not resumable. It then must not be preempted either.
func (s *streamForwarder) markUnresumable() {
	s.c.response.unresumable = true
	s.c.disablePreemption()
}
