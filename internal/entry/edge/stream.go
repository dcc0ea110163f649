package edge

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/engine/connection"
	"shallotramp/internal/traffic/request"
)

const (
	// readChunk is how much of a stream is read at once: some events.
	readChunk = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// writeTimeout bounds one write to a caller: one that does not read must not hold its backend server.
	writeTimeout = 5 * time.Second
)

// stream passes events on as they arrive, whole ones only: a server may stop inside an event, and a
// resumed stream goes on after the last one that the caller has.
func (t *transfer) stream(conn *connection.Conn, out *http.Response, a ResponseHeaders) (request.Outcome, bool) {
	if !a.Sealed && !t.begun {
		conn.Close()
		return request.Broken, false
	}
	rest, err := t.relay(out)
	_ = out.Body.Close() // A read error was returned above.
	switch {
	case err == nil && len(rest) == 0 && t.begun:
		t.e.pool.Put(conn)
		t.done()
		return request.Completed, true
	case t.ctx.Err() != nil:
		conn.Close()
		t.gone(true)
		return request.Cancelled, true
	}
	conn.Close()
	return request.Broken, false
}

// relay returns the bytes of an event that has not ended, and nil at the stream's regular end.
func (t *transfer) relay(out *http.Response) ([]byte, error) {
	rc := http.NewResponseController(t.w)
	buf := make([]byte, 0, readChunk)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEvent {
				return buf, io.ErrShortBuffer
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := out.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := lastEnd(buf); end > 0 {
			if err := t.deliver(rc, out.Header, buf[:end]); err != nil {
				return nil, err
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// lastEnd returns the end of the last whole event, 0 if there is none.
func lastEnd(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return 0
}

// deliver writes whole events to the caller.
func (t *transfer) deliver(rc *http.ResponseController, header http.Header, events []byte) error {
	if !t.begun {
		t.begin(header)
	}
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		t.e.log.Debug().Str("Event", "NoWriteDeadline").Err(err).Send()
	}
	if _, err := t.w.Write(events); err != nil {
		return err
	}
	if err := rc.Flush(); err != nil {
		return err
	}
	t.events += bytes.Count(events, []byte("\n\n"))
	if id := lastID(events); id != "" {
		t.last = id
	}
	return nil
}

// begin sends the answer's head with the first event.
func (t *transfer) begin(header http.Header) {
	t.copyHeader(header)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(http.StatusOK)
	t.begun = true
	t.count()
	t.e.loop.Progress(t.req.ID, 1)
	t.e.metrics.began(t.route.Name, time.Since(t.arrived))
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	const field = "id:"
	i := bytes.LastIndex(events, []byte("\n"+field))
	switch {
	case i >= 0:
		i++
	case bytes.HasPrefix(events, []byte(field)):
		i = 0
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events[i+len(field):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

func (t *transfer) done() {
	t.e.metrics.answered(http.StatusOK)
	t.e.metrics.took(t.route.Name, time.Since(t.arrived))
	t.line(zerolog.InfoLevel, "Answered").Int("Status", http.StatusOK).Int("Events", t.events).Send()
}
