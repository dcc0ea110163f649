package edge

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// errForeignBytes means that a server wrote bytes into a stream that are no event with an ID above the last one, such as
// the text of a crash, the head of another response or an event that the caller has already.
var errForeignBytes = errors.New("the backend server sent bytes in a stream that are not its next event")

// eventFields are the fields of an event that text/event-stream defines.
var eventFields = []string{"id", "data", "event", "retry"}

// eventScanner checks the events of a stream, which have increasing IDs.
type eventScanner struct {
	// fields are the names of further fields of an event.
	fields []string
	// lastID is the ID of the last event, or -1 before the first one, and events counts the events.
	lastID int64
	events int
}

// newEventScanner returns a scanner of the events after that with the given ID, which is empty for a new stream.
func newEventScanner(lastID string, fields []string) *eventScanner {
	s := &eventScanner{fields: fields, lastID: -1}
	if id, ok := parseEventID([]byte(lastID)); ok {
		s.lastID = id
	}
	return s
}

// scan returns the length of the complete events at the start of b. Blocks of comments count as events without an ID. It
// fails with errForeignBytes if what follows them cannot become the next event; scan need not see all of it.
func (s *eventScanner) scan(b []byte) (n int, err error) {
	id, comments := int64(-1), false
	for rest := b; len(rest) > 0; {
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		if complete {
			line = bytes.TrimSuffix(line, []byte("\r"))
		}
		switch {
		case !complete:
			if !s.mayBecomeLine(line) {
				return n, errForeignBytes
			}
			return n, nil
		case len(line) > 0:
			lineID, ok := s.parseLine(line)
			if !ok || lineID >= 0 && (id >= 0 || lineID <= s.lastID) {
				return n, errForeignBytes
			}
			id = max(id, lineID)
			comments = comments || line[0] == ':'
		case id < 0 && !comments:
			return n, errForeignBytes
		default:
			n = len(b) - len(after)
			if id >= 0 {
				s.lastID = id
				s.events++
			}
			id, comments = -1, false
		}
		rest = after
	}
	return n, nil
}

// parseLine checks a complete line of an event. It returns the ID if the line has one, and -1 otherwise.
func (s *eventScanner) parseLine(line []byte) (id int64, ok bool) {
	if containsControl(line) {
		return -1, false
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) == "id" {
		return parseEventID(bytes.TrimPrefix(value, []byte(" ")))
	}
	return -1, s.isField(name)
}

// mayBecomeLine reports whether more bytes can make part a line of an event.
func (s *eventScanner) mayBecomeLine(part []byte) bool {
	// The last byte may be the first one of a line end.
	part = bytes.TrimSuffix(part, []byte("\r"))
	if containsControl(part) {
		return false
	}
	name, _, complete := bytes.Cut(part, []byte(":"))
	if complete {
		return s.isField(name)
	}
	hasPrefix := func(field string) bool { return strings.HasPrefix(field, string(name)) }
	return slices.ContainsFunc(eventFields, hasPrefix) || slices.ContainsFunc(s.fields, hasPrefix)
}

// isField reports whether an event may have a field with the name. A comment has an empty name.
func (s *eventScanner) isField(name []byte) bool {
	return len(name) == 0 || slices.Contains(eventFields, string(name)) || slices.Contains(s.fields, string(name))
}

// containsControl reports whether a line has control characters other than tabs.
func containsControl(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// parseEventID parses the ID of an event, which is a decimal number.
func parseEventID(b []byte) (int64, bool) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil || n > math.MaxInt64 {
		return -1, false
	}
	return int64(n), true
}
