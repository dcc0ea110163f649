package eventstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"
)

// TestScanner guards against bytes of a failing server that are forwarded as events, and against events that are taken
// for such bytes.
func TestScanner(t *testing.T) {
	const second = "id: 2\ndata: b\n\n"
	tests := map[string]struct {
		in, events string
		foreign    bool
	}{
		"events":                                 {"id: 1\ndata: a\n\n" + second, "id: 1\ndata: a\n\n" + second, false},
		"line ends of two bytes":                 {"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
		"all fields, several lines of data":      {"version: 3\nevent: e\nretry: 5\nid:7\ndata: a\ndata\n\n", "version: 3\nevent: e\nretry: 5\nid:7\ndata: a\ndata\n\n", false},
		"a gap between the IDs":                  {second + "id: 9\ndata: c\n\n", second + "id: 9\ndata: c\n\n", false},
		"a comment between events":               {second + ": ping\n\n", second + ": ping\n\n", false},
		"data of any text":                       {"id: 1\ndata: HTTP/1.1 500 {\"ü\":\t1}\n\n", "id: 1\ndata: HTTP/1.1 500 {\"ü\":\t1}\n\n", false},
		"an incomplete event":                    {second + "id: 3\ndata: c\n", second, false},
		"the begin of a field":                   {second + "da", second, false},
		"an incomplete line end":                 {second + "id: 3\r", second, false},
		"nothing":                                {"", "", false},
		"a line of text":                         {second + "panic: index out of range\n", second, true},
		"a text without a colon":                 {second + "goroutine", second, true},
		"the head of a response":                 {second + "HTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n", second, true},
		"an event without an ID":                 {second + "data: c\n\n", second, true},
		"the last event again":                   {second + second, second, true},
		"an earlier event":                       {second + "id: 1\ndata: a\n\n", second, true},
		"two IDs in an event":                    {second + "id: 3\nid: 4\ndata: c\n\n", second, true},
		"an ID that is no number":                {second + "id: x\ndata: c\n\n", second, true},
		"a negative ID":                          {second + "id: -3\ndata: c\n\n", second, true},
		"an ID that is too large":                {second + "id: 18446744073709551615\ndata: c\n\n", second, true},
		"blank lines":                            {second + "\n", second, true},
		"text inside an event":                   {second + "id: 3\ndata: c\nfatal error\n\n", second, true},
		"zeros":                                  {second + "\x00", second, true},
		"zeros inside data":                      {second + "id: 3\ndata: c\x00", second, true},
		"an upper-case field":                    {second + "ID: 3\ndata: c\n\n", second, true},
		"an event after bytes that are no event": {"x\n" + second, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewScanner("", Fields{"version"})
			n, err := s.Scan([]byte(test.in))
			if test.in[:n] != test.events || errors.Is(err, ErrForeign) != test.foreign {
				t.Errorf("got the events %q, error %v; want %q, foreign bytes %t", test.in[:n], err, test.events, test.foreign)
			}
		})
	}
}

// TestScannerOfResumedStream guards against events that the caller has already got from an earlier server.
func TestScannerOfResumedStream(t *testing.T) {
	for last, foreign := range map[string]bool{"": false, "4": false, "5": true, "6": true, "x": false} {
		_, err := NewScanner(last, nil).Scan([]byte("id: 5\ndata: e\n\n"))
		if errors.Is(err, ErrForeign) != foreign {
			t.Errorf("event 5 after event %q: error %v, want foreign bytes %t", last, err, foreign)
		}
	}
}

// FuzzScanner checks that what is accepted are events with increasing IDs, and that it does not depend on how the bytes
// are divided into reads.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(9))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: ping\r\n\r\n"), uint8(20))
	f.Add([]byte("id: 1\ndata: a\n\npanic: x\n\nid: 2\n\n"), uint8(16))
	f.Add([]byte("id: 1\ndata: a\n\nHTTP/1.1 500 x\r\n\r\n"), uint8(20))
	f.Add([]byte("id: 1\ndata: \x00\n\n\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, b []byte, cut uint8) {
		s := NewScanner("", nil)
		n, err := s.Scan(b)
		last := int64(-1)
		for event := range bytes.SplitAfterSeq(bytes.ReplaceAll(b[:n], []byte("\r\n"), []byte("\n")), []byte("\n\n")) {
			for line := range strings.Lines(string(event)) {
				v, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id:")
				if !ok {
					continue
				}
				id, err := strconv.ParseInt(strings.TrimPrefix(v, " "), 10, 64)
				if err != nil || id <= last {
					t.Fatalf("the event %q was accepted after event %d", event, last)
				}
				last = id
			}
		}
		at := min(int(cut), len(b))
		pieces := NewScanner("", nil)
		first, errFirst := pieces.Scan(b[:at])
		if errFirst != nil && err == nil {
			t.Fatalf("the first %d bytes of %q are refused, the whole is not", at, b)
		}
		if errFirst != nil {
			return
		}
		second, errSecond := pieces.Scan(b[first:])
		if first+second != n || (err == nil) != (errSecond == nil) {
			t.Fatalf("%q in two reads: %d bytes and %v; in one: %d bytes and %v", b, first+second, errSecond, n, err)
		}
	})
}
