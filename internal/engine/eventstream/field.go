// Package eventstream checks streams of events (text/event-stream) that come from backend servers. A failing server may
// write other bytes into a stream, such as the text of its crash, zeros or the head of another response. The package tells
// these from events, also if they have no end.
package eventstream

import (
	"bytes"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrForeign means that a server wrote bytes into a stream that are not its next event.
var ErrForeign = errors.New("the backend server sent bytes in a stream that are not its next event")

// standardFields are the fields of an event that text/event-stream defines.
var standardFields = []string{"id", "data", "event", "retry"}

// Fields are the names of the fields that events have beside the standard ones.
type Fields []string

// isField reports whether an event may have a field with the name. A comment has an empty name.
func (f Fields) isField(name []byte) bool {
	return len(name) == 0 || slices.Contains(standardFields, string(name)) || slices.Contains(f, string(name))
}

// isLine reports whether a complete line without its line end can be part of an event.
func (f Fields) isLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return f.isField(name) && !containsControl(line)
}

// mayBecomeLine reports whether more bytes can make part a line of an event.
func (f Fields) mayBecomeLine(part []byte) bool {
	// The last byte may be the first one of a line end.
	part = bytes.TrimSuffix(part, []byte("\r"))
	if containsControl(part) {
		return false
	}
	name, _, complete := bytes.Cut(part, []byte(":"))
	if complete {
		return f.isField(name)
	}
	hasPrefix := func(field string) bool { return strings.HasPrefix(field, string(name)) }
	return slices.ContainsFunc(standardFields, hasPrefix) || slices.ContainsFunc(f, hasPrefix)
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
