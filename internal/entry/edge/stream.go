package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"shallotramp/internal/engine/connection"
	"shallotramp/internal/engine/eventstream"
	"shallotramp/internal/traffic/request"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// writeTimeout limits one write to a caller, so that a caller that does not read cannot occupy a backend
	// server.
	writeTimeout = 5 * time.Second
	// maxLoggedBytes limits how many of the bytes that are no event are logged.
	maxLoggedBytes = 128
)

// forwardStream forwards events as they arrive. It sends complete events only: a server may fail in the middle of an
// event, and a resumed stream continues after the last event that the caller received.
func (t *transaction) forwardStream(conn *connection.Conn, resp *http.Response, respHeaders ResponseHeaders) (request.Outcome, bool) {
	if !respHeaders.Sealed {
		conn.Close()
		return request.Broken, false
	}
	complete, err := t.copyEvents(resp)
	_ = resp.Body.Close() // copyEvents has already returned any read error.
	switch {
	case complete && t.headerSent:
		t.proxy.pool.Put(conn)
		t.recordCompletion()
		return request.Completed, true
	case t.ctx.Err() != nil:
		conn.Close()
		t.handleCancelledAttempt(true)
		return request.Cancelled, true
	}
	conn.Close()
	if err != nil && !errors.Is(err, eventstream.ErrForeign) {
		t.logEvent(zerolog.WarnLevel, "ResponseUnread").Int("Status", resp.StatusCode).Err(err).Send()
	}
	return request.Broken, false
}

// copyEvents forwards complete events until the stream ends or holds other bytes. It reports whether the stream ended after a
// complete event.
func (t *transaction) copyEvents(resp *http.Response) (complete bool, err error) {
	rc := http.NewResponseController(t.w)
	sentBefore := t.eventsSent
	scanner := eventstream.NewScanner(t.resumeAfter(), t.proxy.codec.EventFields())
	buf := t.proxy.buffers.NewBuffer()
	defer buf.Release()
	for {
		err := buf.ReadOnce(resp.Body, maxEventBytes)
		end, scanErr := scanner.Scan(buf.Bytes())
		if end > 0 {
			if err := t.writeEvents(rc, resp.Header, buf.Bytes()[:end], scanner); err != nil {
				return false, err
			}
			t.eventsSent = sentBefore + scanner.Events()
			buf.Discard(end)
		}
		if scanErr != nil {
			foreign := buf.Bytes()
			t.logEvent(zerolog.WarnLevel, "ForeignBytes").Str("LastEvent", t.lastEventID).Bytes("Bytes", foreign[:min(len(foreign), maxLoggedBytes)]).Send()
			return false, scanErr
		}
		if err == io.EOF {
			return len(buf.Bytes()) == 0, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// writeEvents writes complete events, which scanner has scanned, to the caller.
func (t *transaction) writeEvents(rc *http.ResponseController, header http.Header, events []byte, scanner *eventstream.Scanner) error {
	if !t.headerSent {
		t.sendHeader(header)
	}
	if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		t.proxy.log.Debug().Str("Event", "NoWriteDeadline").Err(err).Send()
	}
	if _, err := t.w.Write(events); err != nil {
		return err
	}
	if err := rc.Flush(); err != nil {
		return err
	}
	t.lastEventID = scanner.LastID()
	return nil
}

// sendHeader sends the response header before the first event.
func (t *transaction) sendHeader(header http.Header) {
	t.copyHeader(header)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(http.StatusOK)
	t.headerSent = true
	t.countUsage()
	t.proxy.loop.Progress(t.req.ID, 1)
	t.proxy.metrics.observeFirstEvent(t.route.Name, time.Since(t.arrived))
}

// recordCompletion updates the metrics and logs the end of a complete stream.
func (t *transaction) recordCompletion() {
	t.proxy.metrics.countResponse(http.StatusOK)
	t.proxy.metrics.observeDuration(t.route.Name, time.Since(t.arrived))
	t.logEvent(zerolog.InfoLevel, "Answered").Int("Status", http.StatusOK).Int("Events", t.eventsSent).Send()
}
