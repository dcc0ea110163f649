package link_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/link/testcert"
	"shallotramp/internal/fleet/member"
	"shallotramp/internal/fleet/wire"
)

// recorder is a handler that hands on what happens.
type recorder struct {
	up      chan *link.Link
	down    chan error
	refused chan error
	got     chan *wire.Envelope
}

func newRecorder() *recorder {
	return &recorder{make(chan *link.Link, 16), make(chan error, 16), make(chan error, 16), make(chan *wire.Envelope, 1024)}
}

func (r *recorder) Up(l *link.Link)                             { r.up <- l }
func (r *recorder) Down(_ *link.Link, err error)                { r.down <- err }
func (r *recorder) Receive(_ *link.Link, e *wire.Envelope)      { r.got <- e }
func (r *recorder) Refused(_ netip.AddrPort, _ bool, err error) { r.refused <- err }
func (r *recorder) reason(t *testing.T) (reason link.Refusal)   { return reasonOf(t, <-r.refused) }

func beat(stamp uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Stamp: stamp}}}
}

func reasonOf(t *testing.T, err error) link.Refusal {
	t.Helper()
	var e *link.RefusedError
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want a RefusedError", err)
	}
	return e.Reason
}

// node starts an endpoint that ends with the test.
func node(t *testing.T, name string, src link.CredentialSource) (*link.Endpoint, *recorder, netip.AddrPort, context.Context) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	rec := newRecorder()
	p := link.NewEndpoint(member.Host{Name: name, Zone: "mid-a", Address: addr, Incarnation: 1}, src, ln, rec)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go p.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p, rec, addr, ctx
}

func material(t *testing.T, ca *testcert.Authority, name string) *link.Credentials {
	t.Helper()
	m, err := ca.HostCredentials(name)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func authority(t *testing.T) *testcert.Authority {
	t.Helper()
	ca, err := testcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func TestLinkCarriesMessages(t *testing.T) {
	convey.Convey("Both ends learn who the other is and get its messages in order", t, func() {
		ca := authority(t)
		a, ra, _, ctx := node(t, "a", material(t, ca, "a"))
		_, rb, addr, _ := node(t, "b", material(t, ca, "b"))
		a.Dial(ctx, addr)
		la, lb := <-ra.up, <-rb.up
		convey.So(la.Peer.Name, convey.ShouldEqual, "b")
		convey.So(la.Peer.Address, convey.ShouldResemble, addr)
		convey.So(lb.Peer.Name, convey.ShouldEqual, "a")
		for i := range uint64(50) {
			convey.So(la.Send(beat(i)), convey.ShouldBeTrue)
			convey.So((<-rb.got).GetHeartbeat().GetStamp(), convey.ShouldEqual, i)
		}
		convey.So(lb.Send(&wire.Envelope{Body: &wire.Envelope_Chunk{Chunk: &wire.Chunk{Content: make([]byte, 500<<10)}}}), convey.ShouldBeTrue)
		convey.So(len((<-ra.got).GetChunk().GetContent()), convey.ShouldEqual, 500<<10)
		la.Close()
		convey.So(<-rb.down, convey.ShouldNotBeNil)
		convey.So(<-ra.down, convey.ShouldNotBeNil)
	})
}

func TestLinkRefuses(t *testing.T) {
	ca, other := authority(t), authority(t)
	cases := map[string]struct {
		name string
		src  func(*testing.T) *link.Credentials
		want link.Refusal
	}{
		"a certificate of another authority":  {"b", func(t *testing.T) *link.Credentials { return material(t, other, "b") }, link.BadCertificate},
		"a name other than the certificate's": {"c", func(t *testing.T) *link.Credentials { return material(t, ca, "b") }, link.WrongName},
		"a host of its own name":              {"a", func(t *testing.T) *link.Credentials { return material(t, ca, "a") }, link.SelfDialled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, ra, addr, _ := node(t, "a", material(t, ca, "a"))
			b, _, _, ctx := node(t, c.name, c.src(t))
			b.Dial(ctx, addr)
			if got := ra.reason(t); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}

// speak opens a raw session to addr as the named host and writes raw bytes on its control stream.
func speak(t *testing.T, m *link.Credentials, addr netip.AddrPort, raw ...[]byte) {
	t.Helper()
	conn, err := tls.Dial("tcp", addr.String(), &tls.Config{Certificates: []tls.Certificate{m.Certificate}, RootCAs: m.Roots, ServerName: "a"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s, err := yamux.Client(conn, nil)
	if err != nil {
		t.Fatal(err)
	}
	control, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Open(); err != nil {
		t.Fatal(err)
	}
	for _, b := range raw {
		if _, err := control.Write(b); err != nil {
			// The receiver may refuse what it has read before the write returns; its reason is what counts.
			return
		}
	}
}

func hello(t *testing.T, version, oldest uint32) []byte {
	var out bytesWriter
	e := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Host: &wire.Host{Name: "b"}, Version: version, OldestVersion: oldest}}}
	if _, err := wire.Write(&out, e); err != nil {
		t.Fatal(err)
	}
	return out
}

type bytesWriter []byte

func (w *bytesWriter) Write(b []byte) (int, error) {
	*w = append(*w, b...)
	return len(b), nil
}

func TestLinkRefusesBadInput(t *testing.T) {
	ca := authority(t)
	cases := map[string]struct {
		raw  []byte
		want link.Refusal
	}{
		"a newer version that no longer speaks ours": {hello(t, wire.Version+2, wire.Version+1), link.BadVersion},
		"an older version":                           {hello(t, wire.OldestVersion-1, 0), link.BadVersion},
		"an oversized message":                       {[]byte{0xff, 0xff, 0xff, 0x7f}, link.BadMessage},
		"a malformed message":                        {[]byte{2, 0xff, 0xff}, link.BadMessage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, ra, addr, _ := node(t, "a", material(t, ca, "a"))
			speak(t, material(t, ca, "b"), addr, c.raw)
			if got := ra.reason(t); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
	t.Run("an open link ends at a malformed message", func(t *testing.T) {
		_, ra, addr, _ := node(t, "a", material(t, ca, "a"))
		speak(t, material(t, ca, "b"), addr, hello(t, wire.Version, wire.OldestVersion), []byte{2, 0xff, 0xff})
		<-ra.up
		var bad *wire.MessageError
		if err := <-ra.down; !errors.As(err, &bad) {
			t.Fatalf("got %v", err)
		}
	})
}

func writeFiles(t *testing.T, dir string, ca *testcert.Authority, name string, stamp time.Time) (cert, key, root string) {
	t.Helper()
	c, k, r, err := ca.PEM(name)
	if err != nil {
		t.Fatal(err)
	}
	for file, b := range map[string][]byte{"cert": c, "key": k, "ca": r} {
		path := filepath.Join(dir, file)
		if err := errors.CombineErrors(os.WriteFile(path, b, 0o600), os.Chtimes(path, stamp, stamp)); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")
}

func TestFilesRotateWithoutRestart(t *testing.T) {
	convey.Convey("New files are used by the next handshake, and bad ones are not", t, func() {
		before, after := authority(t), authority(t)
		dir := t.TempDir()
		stamp := time.Now().Add(-time.Hour)
		cert, key, root := writeFiles(t, dir, before, "b", stamp)
		files, err := link.NewCredentialFiles(cert, key, root)
		convey.So(err, convey.ShouldBeNil)
		b, rb, _, ctx := node(t, "b", files)
		_, ra, addr, _ := node(t, "a", material(t, after, "a"))
		b.Dial(ctx, addr)
		convey.So(ra.reason(t), convey.ShouldEqual, link.BadCertificate)

		convey.So(os.WriteFile(cert, []byte("no certificate"), 0o600), convey.ShouldBeNil)
		files.ForceCheck()
		_, err = files.Credentials()
		convey.So(err, convey.ShouldBeNil)
		var bad *link.CredentialFileError
		convey.So(errors.As(files.Failure(), &bad), convey.ShouldBeTrue)

		writeFiles(t, dir, after, "b", stamp.Add(time.Minute))
		files.ForceCheck()
		b.Dial(ctx, addr)
		convey.So((<-ra.up).Peer.Name, convey.ShouldEqual, "b")
		convey.So((<-rb.up).Peer.Name, convey.ShouldEqual, "a")
	})
}
