package log_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/ops/log"
)

// slowWriter is an [io.Writer] that collects lines and can block.
type slowWriter struct {
	mu    sync.Mutex
	lines bytes.Buffer
	// unblock ends the blocking of Write when it is closed; Write does not block if it is nil.
	unblock chan struct{}
}

// Write implements [io.Writer].
func (s *slowWriter) Write(p []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

func (s *slowWriter) count(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.lines.String(), text)
}

// counter returns the value of the drop counter with the given cause.
func counter(l *log.Log, cause string) string {
	var b bytes.Buffer
	l.WriteMetrics(&b)
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, cause) {
			_, v, _ := strings.Cut(line, "} ")
			return strings.TrimSpace(v)
		}
	}
	return ""
}

func TestFloods(t *testing.T) {
	convey.Convey("Many lines about requests do not displace lines about the process", t, func() {
		out := &slowWriter{}
		l := log.New(out, zerolog.InfoLevel)
		for range 20000 {
			l.Requests.Info().Str("Event", "Answered").Send()
		}
		l.Requests.Warn().Str("Event", "AttemptFailed").Send()
		l.Process.Info().Str("Event", "StoreLost").Send()
		convey.So(l.Close(), convey.ShouldBeNil)
		convey.So(out.count("StoreLost"), convey.ShouldEqual, 1)
		convey.So(out.count("AttemptFailed"), convey.ShouldEqual, 1)
		convey.So(out.count("Answered"), convey.ShouldBeGreaterThan, 0)
		convey.So(out.count("Answered"), convey.ShouldBeLessThan, 20000)
		convey.So(counter(l, "many requests"), convey.ShouldNotEqual, "0")
	})
	convey.Convey("A blocked reader does not block the process, and the lines that it misses are counted", t, func() {
		out := &slowWriter{unblock: make(chan struct{})}
		l := log.New(out, zerolog.InfoLevel)
		for range 10000 {
			l.Process.Info().Str("Event", "Server").Send()
		}
		close(out.unblock)
		convey.So(l.Close(), convey.ShouldBeNil)
		convey.So(out.count("Server"), convey.ShouldBeLessThan, 10000)
		convey.So(counter(l, "slow reader"), convey.ShouldNotEqual, "0")
	})
}
