package edge

import (
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/engine/connection"
	"shallotramp/internal/engine/eventstream"
	"shallotramp/internal/traffic/request"
)

const (
	// readBufferBytes is the initial size of the read buffer, which holds several events.
	readBufferBytes = 4 << 10
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
	rest, err := t.copyEvents(resp)
	_ = resp.Body.Close() // copyEvents has already returned any read error.
	switch {
	case err == nil && len(rest) == 0 && t.headerSent:
		t.proxy.pool.Put(conn)
		t.recordCompletion()
		return request.Completed, true
	case t.ctx.Err() != nil:
		conn.Close()
		t.handleCancelledAttempt(true)
		return request.Cancelled, true
	}
	conn.Close()
	return request.Broken, false
}

// copyEvents forwards complete events until the stream ends or holds other bytes. At the end it returns the bytes of an
// incomplete event, of which there are none if the stream ended regularly.
func (t *transaction) copyEvents(resp *http.Response) ([]byte, error) {
	rc := http.NewResponseController(t.w)
	sentBefore := t.eventsSent
	scanner := eventstream.NewScanner(t.resumeAfter(), t.proxy.codec.EventFields())
	buf := make([]byte, 0, readBufferBytes)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				return buf, io.ErrShortBuffer
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		end, scanErr := scanner.Scan(buf)
		if end > 0 {
			if err := t.writeEvents(rc, resp.Header, buf[:end], scanner); err != nil {
				return nil, err
			}
			t.eventsSent = sentBefore + scanner.Events()
			buf = buf[:copy(buf, buf[end:])]
		}
		if scanErr != nil {
			t.logEvent(zerolog.WarnLevel, "ForeignBytes").Str("LastEvent", t.lastEventID).Bytes("Bytes", buf[:min(len(buf), maxLoggedBytes)]).Send()
			return buf, scanErr
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
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
