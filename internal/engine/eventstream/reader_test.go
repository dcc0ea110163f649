package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReader guards against lines of a failing server that pass as lines of events, or that are read without end.
func TestReader(t *testing.T) {
	const event = "data: a\n\n"
	tests := map[string]struct {
		in, want string
		foreign  bool
	}{
		"events and comments":            {event + ": ping\r\n\r\n" + event, event + ": ping\r\n\r\n" + event, false},
		"an incomplete line":             {event + "dat", event + "dat", false},
		"blank lines":                    {event + "\n\n" + event, event + "\n\n" + event, false},
		"blank lines in a row":           {event + strings.Repeat("\n", 15) + event, event + strings.Repeat("\n", 15) + event, false},
		"blank lines without end":        {event + strings.Repeat("\n", 16), event + strings.Repeat("\n", 15), true},
		"a long line of data":            {"data: " + strings.Repeat("x", 1<<16) + "\n\n", "data: " + strings.Repeat("x", 1<<16) + "\n\n", false},
		"a line of text":                 {event + "panic: x\n" + event, event, true},
		"a text without a colon":         {event + "goroutine", event, true},
		"the head of a response":         {event + "HTTP/1.1 500 x\r\n\r\n", event, true},
		"zeros":                          {event + "\x00\x00", event, true},
		"zeros after the begin of data":  {event + "data: a\x00", event, true},
		"a carriage return inside data":  {event + "data: a\rb\n\n", event, true},
		"a carriage return and no more":  {event + "data: a\r", event + "data: a\r", false},
		"a field with a longer name":     {event + "database: x\n", event, true},
		"a line of zeros after its name": {event + "data\x00: x\n", event, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := io.ReadAll(NewReader(strings.NewReader(test.in), nil))
			if string(got) != test.want || errors.Is(err, ErrForeign) != test.foreign {
				t.Errorf("got %.99q, error %v; want %.99q, foreign bytes %t", got, err, test.want, test.foreign)
			}
			_, err = io.ReadAll(NewReader(iotest.OneByteReader(strings.NewReader(test.in)), nil))
			if errors.Is(err, ErrForeign) != test.foreign {
				t.Errorf("read byte by byte: error %v, want foreign bytes %t", err, test.foreign)
			}
		})
	}
}

// FuzzReader checks that the verdict on a stream does not depend on how its bytes are divided into reads, and that all
// complete lines that pass are lines of events.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\n\nid: 1\r\n\r\n"))
	f.Add([]byte("data: a\r\r\n\npanic: x"))
	f.Add([]byte(": \x00\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := io.ReadAll(NewReader(bytes.NewReader(b), nil))
		if !bytes.HasPrefix(b, got) {
			t.Fatalf("%q was read as %q", b, got)
		}
		for line := range bytes.Lines(got) {
			text, complete := bytes.CutSuffix(line, []byte("\n"))
			text = bytes.TrimSuffix(text, []byte("\r"))
			if complete && len(text) > 0 && !(Fields{}).isLine(text) {
				t.Fatalf("the line %q of %q passed", line, b)
			}
		}
		_, errSingle := io.ReadAll(NewReader(iotest.OneByteReader(bytes.NewReader(b)), nil))
		if errors.Is(err, ErrForeign) != errors.Is(errSingle, ErrForeign) {
			t.Fatalf("%q: error %v, byte by byte %v", b, err, errSingle)
		}
	})
}
