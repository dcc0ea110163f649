package eventstream

import (
	"bytes"
	"io"
)

const (
	// maxNameBytes is more than the longest name of a field.
	maxNameBytes = 64
	// maxBlankLines limits the blank lines in a row. One ends an event; a faulty server may send them without end.
	maxBlankLines = 16
)

// Reader reads a stream and fails with [ErrForeign] at the first line that is no line of an event. It does not keep lines,
// so their length is unlimited.
type Reader struct {
	r      io.Reader
	fields Fields
	// start has the first bytes of the line that is being read, and returned is set if its last byte is a carriage return.
	start    []byte
	returned bool
	// blankLines counts the blank lines since the last other one.
	blankLines int
	err        error
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader, fields Fields) *Reader { return &Reader{r: r, fields: fields} }

// Read implements [io.Reader].
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		if !r.add(line, complete) {
			r.err = ErrForeign
			return n - len(rest), r.err
		}
		rest = after
	}
	r.err = err
	return n, err
}

// add adds bytes to the line, which they complete if complete is set. It returns false if they cannot be part of it.
func (r *Reader) add(b []byte, complete bool) bool {
	if r.returned && len(b) > 0 {
		return false
	}
	b, returned := bytes.CutSuffix(b, []byte("\r"))
	r.returned = r.returned || returned
	r.start = append(r.start, b[:min(len(b), maxNameBytes-len(r.start))]...)
	if !complete {
		return !containsControl(b) && r.fields.mayBecomeLine(r.start)
	}
	if len(r.start) > 0 {
		r.blankLines = -1
	}
	r.blankLines++
	ok := !containsControl(b) && r.blankLines <= maxBlankLines && (len(r.start) == 0 || r.fields.isLine(r.start))
	r.start, r.returned = r.start[:0], false
	return ok
}
