package wire

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
)

func encoded(t testing.TB, e *Envelope) []byte {
	var buf bytes.Buffer
	if _, err := Write(&buf, e); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func heartbeat() *Envelope {
	return &Envelope{Body: &Envelope_Heartbeat{&Heartbeat{Stamp: 7, Release: 3}}}
}

func TestRead(t *testing.T) {
	whole := encoded(t, heartbeat())
	cases := map[string]struct {
		in      []byte
		ok, eof bool
	}{
		"a whole message is read":                 {in: whole, ok: true},
		"an end between messages is io.EOF":       {in: nil, eof: true},
		"a length without content is truncated":   {in: whole[:1]},
		"a message cut short is truncated":        {in: whole[:len(whole)-1]},
		"a length above the limit is refused":     {in: []byte{0xff, 0xff, 0xff, 0x7f}},
		"a length cut short is truncated":         {in: []byte{0xff}},
		"content that is no message is malformed": {in: []byte{2, 0xff, 0xff}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				e, err := Read(bufio.NewReader(bytes.NewReader(c.in)))
				var bad *MessageError
				convey.So(errors.As(err, &bad), convey.ShouldEqual, !c.ok && !c.eof)
				convey.So(err == io.EOF, convey.ShouldEqual, c.eof)
				if c.ok {
					convey.So(proto.Equal(e, heartbeat()), convey.ShouldBeTrue)
				}
			})
		})
	}
}

func TestCheckVersion(t *testing.T) {
	cases := map[string]struct {
		newest, oldest uint32
		ok             bool
	}{
		"the same version is accepted":                       {Version, Version, true},
		"a newer host that supports ours is accepted":        {Version + 3, Version, true},
		"a newer host that does not support ours is refused": {Version + 3, Version + 1, false},
		"an older host is refused":                           {OldestVersion - 1, 0, false},
		"a range that ends before it starts is refused":      {Version, Version + 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckVersion(&Hello{Version: c.newest, OldestVersion: c.oldest})
			var v *VersionError
			if (err == nil) != c.ok || (err != nil && !errors.As(err, &v)) {
				t.Fatalf("got error %v", err)
			}
		})
	}
}

// A newer host may send a kind of message that this version does not know. Read must return an envelope without a body,
// which receivers ignore, and no error.
func TestReadUnknownBody(t *testing.T) {
	unknown := []byte{4, 0xfa, 0x06, 1, 'x'}
	e, err := Read(bufio.NewReader(bytes.NewReader(unknown)))
	if err != nil || e.GetBody() != nil {
		t.Fatalf("got %v and error %v, want an envelope without a body", e, err)
	}
}

// FuzzRead checks that no input makes Read panic, return another error than io.EOF or a MessageError, or return a message
// above the size limit.
func FuzzRead(f *testing.F) {
	f.Add(encoded(f, heartbeat()))
	f.Add(encoded(f, &Envelope{Body: &Envelope_Chunk{&Chunk{Digest: []byte{1}, Content: []byte("x")}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			e, err := Read(r)
			if err != nil {
				var bad *MessageError
				if err != io.EOF && !errors.As(err, &bad) {
					t.Fatalf("Read returned %v, want io.EOF or a MessageError", err)
				}
				return
			}
			if proto.Size(e) > MaxMessageBytes {
				t.Fatal("Read returned a message larger than MaxMessageBytes")
			}
		}
	})
}
