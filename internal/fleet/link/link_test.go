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
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/wire"
)

// recorder is a [link.Handler] that passes each event to a channel.
type recorder struct {
	up       chan *link.Link
	down     chan error
	refused  chan error
	received chan *wire.Envelope
}

func newRecorder() *recorder {
	return &recorder{make(chan *link.Link, 16), make(chan error, 16), make(chan error, 16), make(chan *wire.Envelope, 1024)}
}

func (r *recorder) Up(l *link.Link)                             { r.up <- l }
func (r *recorder) Down(_ *link.Link, err error)                { r.down <- err }
func (r *recorder) Receive(_ *link.Link, e *wire.Envelope)      { r.received <- e }
func (r *recorder) Refused(_ netip.AddrPort, _ bool, err error) { r.refused <- err }
func (r *recorder) reason(t *testing.T) (reason link.Refusal)   { return reasonOf(t, <-r.refused) }

func heartbeat(stamp uint64) *wire.Envelope {
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

// startEndpoint starts an endpoint on a local address. It stops at the end of the test.
func startEndpoint(t *testing.T, name string, src link.CredentialSource) (*link.Endpoint, *recorder, netip.AddrPort, context.Context) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	rec := newRecorder()
	e := link.NewEndpoint(membership.Host{Name: name, Zone: "mid-a", Address: addr, Incarnation: 1}, src, ln, rec)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go e.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return e, rec, addr, ctx
}

func newCredentials(t *testing.T, ca *testcert.Authority, name string) *link.Credentials {
	t.Helper()
	m, err := ca.HostCredentials(name)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newAuthority(t *testing.T) *testcert.Authority {
	t.Helper()
	ca, err := testcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// Both ends of a link must know their peer and receive its messages in order, also one that is larger than the buffers.
func TestLinkCarriesMessages(t *testing.T) {
	convey.Convey("Both ends know the other host and receive its messages in order", t, func() {
		ca := newAuthority(t)
		a, ra, _, ctx := startEndpoint(t, "a", newCredentials(t, ca, "a"))
		_, rb, addr, _ := startEndpoint(t, "b", newCredentials(t, ca, "b"))
		a.Dial(ctx, addr)
		la, lb := <-ra.up, <-rb.up
		convey.So(la.Peer.Name, convey.ShouldEqual, "b")
		convey.So(la.Peer.Address, convey.ShouldResemble, addr)
		convey.So(lb.Peer.Name, convey.ShouldEqual, "a")
		for i := range uint64(50) {
			convey.So(la.Send(heartbeat(i)), convey.ShouldBeTrue)
			convey.So((<-rb.received).GetHeartbeat().GetStamp(), convey.ShouldEqual, i)
		}
		convey.So(lb.Send(&wire.Envelope{Body: &wire.Envelope_Chunk{Chunk: &wire.Chunk{Content: make([]byte, 500<<10)}}}), convey.ShouldBeTrue)
		convey.So(len((<-ra.received).GetChunk().GetContent()), convey.ShouldEqual, 500<<10)
		la.Close()
		convey.So(<-rb.down, convey.ShouldNotBeNil)
		convey.So(<-ra.down, convey.ShouldNotBeNil)
	})
}

// A host must not accept a peer that it cannot authenticate, or itself.
func TestLinkRefuses(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	cases := map[string]struct {
		name string
		src  func(*testing.T) *link.Credentials
		want link.Refusal
	}{
		"a certificate of another authority":         {"b", func(t *testing.T) *link.Credentials { return newCredentials(t, otherCA, "b") }, link.BadCertificate},
		"a name that the certificate does not cover": {"c", func(t *testing.T) *link.Credentials { return newCredentials(t, ca, "b") }, link.WrongName},
		"a peer with the name of the accepting host": {"a", func(t *testing.T) *link.Credentials { return newCredentials(t, ca, "a") }, link.SelfDialled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, ra, addr, _ := startEndpoint(t, "a", newCredentials(t, ca, "a"))
			b, _, _, ctx := startEndpoint(t, c.name, c.src(t))
			b.Dial(ctx, addr)
			if got := ra.reason(t); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
}

// dialRaw opens a yamux session to addr with the given credentials and writes raw bytes to its control stream.
func dialRaw(t *testing.T, creds *link.Credentials, addr netip.AddrPort, raw ...[]byte) {
	t.Helper()
	conn, err := tls.Dial("tcp", addr.String(), &tls.Config{Certificates: []tls.Certificate{creds.Certificate}, RootCAs: creds.Roots, ServerName: "a"})
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
			// The receiver may close the link before all is written. The test checks the reason that it gives.
			return
		}
	}
}

func encodedHello(t *testing.T, version, oldest uint32) []byte {
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

// A message that cannot be read, or a version with no overlap, must end the link with the reason.
func TestLinkRefusesBadInput(t *testing.T) {
	ca := newAuthority(t)
	cases := map[string]struct {
		raw  []byte
		want link.Refusal
	}{
		"a newer version that no longer supports ours": {encodedHello(t, wire.Version+2, wire.Version+1), link.BadVersion},
		"an older version":     {encodedHello(t, wire.OldestVersion-1, 0), link.BadVersion},
		"an oversized message": {[]byte{0xff, 0xff, 0xff, 0x7f}, link.BadMessage},
		"a malformed message":  {[]byte{2, 0xff, 0xff}, link.BadMessage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, ra, addr, _ := startEndpoint(t, "a", newCredentials(t, ca, "a"))
			dialRaw(t, newCredentials(t, ca, "b"), addr, c.raw)
			if got := ra.reason(t); got != c.want {
				t.Fatalf("got %s, want %s", got, c.want)
			}
		})
	}
	t.Run("a malformed message closes an open link", func(t *testing.T) {
		_, ra, addr, _ := startEndpoint(t, "a", newCredentials(t, ca, "a"))
		dialRaw(t, newCredentials(t, ca, "b"), addr, encodedHello(t, wire.Version, wire.OldestVersion), []byte{2, 0xff, 0xff})
		<-ra.up
		var bad *wire.MessageError
		if err := <-ra.down; !errors.As(err, &bad) {
			t.Fatalf("got %v, want a MessageError", err)
		}
	})
}

// writeFiles writes the certificate, key and CA files of the named host, with the given modification time.
func writeFiles(t *testing.T, dir string, ca *testcert.Authority, name string, modTime time.Time) (certFile, keyFile, caFile string) {
	t.Helper()
	c, k, r, err := ca.PEM(name)
	if err != nil {
		t.Fatal(err)
	}
	for file, b := range map[string][]byte{"cert": c, "key": k, "ca": r} {
		path := filepath.Join(dir, file)
		if err := errors.CombineErrors(os.WriteFile(path, b, 0o600), os.Chtimes(path, modTime, modTime)); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "cert"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")
}

// Rotated certificates must take effect without a restart, and an unusable file must not replace usable credentials.
func TestFilesRotateWithoutRestart(t *testing.T) {
	convey.Convey("The next handshake uses the new files, but not an unusable one", t, func() {
		oldCA, newCA := newAuthority(t), newAuthority(t)
		dir := t.TempDir()
		modTime := time.Now().Add(-time.Hour)
		certFile, keyFile, caFile := writeFiles(t, dir, oldCA, "b", modTime)
		files, err := link.NewCredentialFiles(certFile, keyFile, caFile)
		convey.So(err, convey.ShouldBeNil)
		b, rb, _, ctx := startEndpoint(t, "b", files)
		_, ra, addr, _ := startEndpoint(t, "a", newCredentials(t, newCA, "a"))
		b.Dial(ctx, addr)
		convey.So(ra.reason(t), convey.ShouldEqual, link.BadCertificate)

		convey.So(os.WriteFile(certFile, []byte("no certificate"), 0o600), convey.ShouldBeNil)
		files.ForceCheck()
		_, err = files.Credentials()
		convey.So(err, convey.ShouldBeNil)
		var bad *link.CredentialFileError
		convey.So(errors.As(files.Failure(), &bad), convey.ShouldBeTrue)

		writeFiles(t, dir, newCA, "b", modTime.Add(time.Minute))
		files.ForceCheck()
		b.Dial(ctx, addr)
		convey.So((<-ra.up).Peer.Name, convey.ShouldEqual, "b")
		convey.So((<-rb.up).Peer.Name, convey.ShouldEqual, "a")
	})
}
