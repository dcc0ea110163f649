package store

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// maxObjectDepth is the deepest nesting of an object that is read. Objects of the product and of the platform have a few
// levels.
const maxObjectDepth = 100

// errBadPage means that a page of objects is no JSON, so that not even its objects can be told apart.
var errBadPage = errors.New("the response is not a JSON object, or it ends early")

// SplitPage divides a JSON object into the elements of its array field and the rest, in which that array is empty. Unlike
// encoding/json it copes with elements of any depth: another client may have written an object that nobody can read, and it
// must not hide the others of its page.
func SplitPage(raw []byte, field string) (elements []json.RawMessage, rest []byte, err error) {
	key, err := json.Marshal(field)
	if err != nil {
		return nil, nil, err
	}
	i := skipSpace(raw, 0)
	if i >= len(raw) || raw[i] != '{' {
		return nil, nil, errBadPage
	}
	for i++; ; {
		i = skipSpace(raw, i)
		start := i
		if i = endOfValue(raw, i); i < 0 {
			return nil, nil, errBadPage
		}
		if i == start {
			return nil, raw, nil // The object has no such field.
		}
		name := raw[start:i]
		if i = skipSpace(raw, i); i >= len(raw) || raw[i] != ':' {
			return nil, nil, errBadPage
		}
		value := skipSpace(raw, i+1)
		if bytes.Equal(name, key) && value < len(raw) && raw[value] == '[' {
			var end int
			if elements, end, err = splitArray(raw, value); err != nil {
				return nil, nil, err
			}
			rest = append(append(bytes.Clone(raw[:value]), "[]"...), raw[end:]...)
			return elements, rest, nil
		}
		if i = endOfValue(raw, value); i < 0 || i == value {
			return nil, nil, errBadPage
		}
		if i = skipSpace(raw, i); i < len(raw) && raw[i] == ',' {
			i++
		}
	}
}

// splitArray returns the elements of the array that starts at start, and its end.
func splitArray(raw []byte, start int) (elements []json.RawMessage, end int, err error) {
	for i := start + 1; ; {
		i = skipSpace(raw, i)
		if i < len(raw) && raw[i] == ']' {
			return elements, i + 1, nil
		}
		next := endOfValue(raw, i)
		if next < 0 || next == i {
			return nil, 0, errBadPage
		}
		elements = append(elements, raw[i:next])
		if i = skipSpace(raw, next); i < len(raw) && raw[i] == ',' {
			i++
		}
	}
}

func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\n' || raw[i] == '\t' || raw[i] == '\r') {
		i++
	}
	return i
}

// endOfValue returns the end of the JSON value that starts at start, start if there is none, and -1 if the value ends early.
// It looks only at strings and brackets.
func endOfValue(raw []byte, start int) int {
	depth := 0
	for i := start; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			for i++; i < len(raw) && raw[i] != '"'; i++ {
				if raw[i] == '\\' {
					i++
				}
			}
			if i >= len(raw) {
				return -1
			}
			if depth == 0 {
				return i + 1
			}
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return i
			}
			if depth--; depth == 0 {
				return i + 1
			}
		case ',', ':', ' ', '\n', '\t', '\r':
			if depth == 0 {
				return i
			}
		}
	}
	return -1
}

// UnreadableError is returned for an object that cannot be read, whoever wrote it.
type UnreadableError struct{ Problem string }

func (e *UnreadableError) Error() string {
	return "the object cannot be read: " + e.Problem + "; remove it or write it again"
}

// CheckReadable returns an [UnreadableError] if the JSON encoding of an object is nested too deeply or is no UTF-8 text.
// Other hosts could not read the object inside the messages in which this one passes it on.
func CheckReadable(raw []byte) error {
	if !utf8.Valid(raw) {
		return &UnreadableError{"it is not UTF-8 text"}
	}
	depth, inString := 0, false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case c == '\\' && inString:
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth > maxObjectDepth {
				return &UnreadableError{"it is nested too deeply"}
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}
