package eventstream

import (
	"bytes"
	"math"
	"strconv"
)

// Scanner checks the events of a stream whose events have increasing IDs.
type Scanner struct {
	fields Fields
	// lastID is the ID of the last event, or -1 before the first one, and events counts the events.
	lastID int64
	events int
}

// NewScanner returns a Scanner of the events after that with the given ID, which is empty for a new stream.
func NewScanner(lastID string, fields Fields) *Scanner {
	s := &Scanner{fields: fields, lastID: -1}
	if id, ok := parseID([]byte(lastID)); ok {
		s.lastID = id
	}
	return s
}

// LastID returns the ID of the last event, or an empty string before the first one.
func (s *Scanner) LastID() string {
	if s.lastID < 0 {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// Events returns the number of events scanned.
func (s *Scanner) Events() int { return s.events }

// Scan returns the length of the complete events at the start of b, with the comments between them. The rest of b must be at
// the start of b in the next call. Scan fails with [ErrForeign] if the rest cannot become the next event.
func (s *Scanner) Scan(b []byte) (n int, err error) {
	id, comments := int64(-1), false
	for rest := b; len(rest) > 0; {
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		if !complete {
			if !s.fields.mayBecomeLine(line) {
				return n, ErrForeign
			}
			return n, nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) > 0:
			lineID, ok := s.parseLine(line)
			if !ok || lineID >= 0 && (id >= 0 || lineID <= s.lastID) {
				return n, ErrForeign
			}
			id = max(id, lineID)
			comments = comments || line[0] == ':'
		case id < 0 && !comments:
			return n, ErrForeign
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
func (s *Scanner) parseLine(line []byte) (id int64, ok bool) {
	if !s.fields.isLine(line) {
		return -1, false
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		return parseID(bytes.TrimPrefix(value, []byte(" ")))
	}
	return -1, true
}

// parseID parses the ID of an event, which is a decimal number.
func parseID(b []byte) (int64, bool) {
	n, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil || n > math.MaxInt64 {
		return -1, false
	}
	return int64(n), true
}
