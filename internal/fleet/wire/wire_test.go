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

func beat() *Envelope {
	return &Envelope{Body: &Envelope_Heartbeat{&Heartbeat{Stamp: 7, Release: 3}}}
}

func TestRead(t *testing.T) {
	whole := encoded(t, beat())
	cases := map[string]struct {
		in        []byte
		ok, atEnd bool
	}{
		"a whole message is read":                 {in: whole, ok: true},
		"the end between messages is the end":     {in: nil, atEnd: true},
		"a length without content is truncated":   {in: whole[:1]},
		"a message cut short is truncated":        {in: whole[:len(whole)-1]},
		"a length above the bound is refused":     {in: []byte{0xff, 0xff, 0xff, 0x7f}},
		"a length cut short is truncated":         {in: []byte{0xff}},
		"content that is no message is malformed": {in: []byte{2, 0xff, 0xff}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				e, err := Read(bufio.NewReader(bytes.NewReader(c.in)))
				var bad *MessageError
				convey.So(errors.As(err, &bad), convey.ShouldEqual, !c.ok && !c.atEnd)
				convey.So(err == io.EOF, convey.ShouldEqual, c.atEnd)
				if c.ok {
					convey.So(proto.Equal(e, beat()), convey.ShouldBeTrue)
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
		"the same version is taken":                           {Version, Version, true},
		"a newer host that still speaks ours is taken":        {Version + 3, Version, true},
		"a newer host that no longer speaks ours is refused":  {Version + 3, Version + 1, false},
		"an older host is refused":                            {OldestVersion - 1, 0, false},
		"a range that ends before it starts is no real range": {Version, Version + 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := CheckVersion(&Hello{Version: c.newest, OldestVersion: c.oldest})
			var v *VersionError
			if (err == nil) != c.ok || (err != nil && !errors.As(err, &v)) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// A body that only a newer version knows is an envelope without a body, which receivers ignore.
func TestReadUnknownBody(t *testing.T) {
	unknown := []byte{4, 0xfa, 0x06, 1, 'x'}
	e, err := Read(bufio.NewReader(bytes.NewReader(unknown)))
	if err != nil || e.GetBody() != nil {
		t.Fatalf("got %v, %v", e, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(encoded(f, beat()))
	f.Add(encoded(f, &Envelope{Body: &Envelope_Chunk{&Chunk{Digest: []byte{1}, Content: []byte("x")}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			e, err := Read(r)
			if err != nil {
				var bad *MessageError
				if err != io.EOF && !errors.As(err, &bad) {
					t.Fatalf("untyped error %v", err)
				}
				return
			}
			if proto.Size(e) > MaxMessageBytes {
				t.Fatal("an oversized message was read")
			}
		}
	})
}
