package host

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/link"
	"shallotramp/internal/fleet/link/testcert"
	"shallotramp/internal/provider/fake"
)

var sampleObjects = strings.Join([]string{
	`{Kind: Organisation, Name: river}`,
	`{Kind: Class, Name: chat, Tier: 1}`,
	`{Kind: Pool, Name: models, Protocol: Engine, Models: [m], Concurrency: 4}`,
	`{Kind: BackendServer, Name: engine-1, Pool: models, Zone: mid-a, Address: "127.0.0.1:9"}`,
	`{Kind: Route, Name: m, Model: m, Pool: models, Classes: [chat], Idempotent: true}`,
}, "\n---\n")

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func publish(t *testing.T, st *fake.Store, base uint64, keys ...string) {
	t.Helper()
	set := object.NewSet()
	if errs := object.Read(set, "test", strings.NewReader(sampleObjects)); len(errs) > 0 {
		t.Fatal(errs)
	}
	for i, k := range keys {
		name := fmt.Sprintf("river-%d", i)
		set.Keys[name] = &object.KeySpec{Name: name, Organisation: "river", Digest: object.DigestOf(k)}
	}
	if _, err := release.Publish(context.Background(), st, release.Publication{Base: base, Set: set, Author: "test"}, time.Now()); err != nil {
		t.Fatal(err)
	}
}

// startLinkedHost starts a host with links to other hosts. The host stops at the end of the test.
func startLinkedHost(t *testing.T, st *fake.Store, name, zone string, src link.CredentialSource, seeds ...netip.AddrPort) *Host {
	t.Helper()
	h, err := New(Config{
		Name: name, Zone: zone, Callers: loopback, Operators: loopback, DrainTimeout: time.Second,
		Fleet: FleetConfig{Listen: loopback, Credentials: src, Seeds: seeds},
	}, st, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return h
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// modelsStatus returns the status code of a request for the list of models with the key.
func modelsStatus(t *testing.T, h *Host, key string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, h.CallersURL()+"/v1/models", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func TestFleetOfHosts(t *testing.T) {
	convey.Convey("Linked hosts get releases from each other, even a host that cannot reach the platform's store", t, func() {
		ca, err := testcert.NewAuthority()
		convey.So(err, convey.ShouldBeNil)
		credentials := func(name string) link.CredentialSource {
			creds, err := ca.HostCredentials(name)
			if err != nil {
				t.Fatal(err)
			}
			return creds
		}
		st, unreachable := fake.NewStore(), fake.NewStore()
		unreachable.SetFaults(fake.Faults{Down: true})
		publish(t, st, 0, "first", "second")
		a := startLinkedHost(t, st, "host-1", "mid-a", credentials("host-1"))
		b := startLinkedHost(t, st, "host-2", "mid-b", credentials("host-2"))
		c := startLinkedHost(t, unreachable, "host-3", "mid-a", credentials("host-3"), a.node.Address())
		hosts := []*Host{a, b, c}
		eventually(t, "all hosts are ready", func() bool { return a.Status().Ready && b.Status().Ready && c.Status().Ready })
		for _, h := range hosts {
			convey.So(modelsStatus(t, h, "second"), convey.ShouldEqual, http.StatusOK)
		}
		eventually(t, "the relay holds its lease", func() bool { return a.node.View().Leased })

		publish(t, st, 1, "first")
		for _, h := range hosts {
			eventually(t, "the key is withdrawn", func() bool { return modelsStatus(t, h, "second") == http.StatusUnauthorized })
			convey.So(modelsStatus(t, h, "first"), convey.ShouldEqual, http.StatusOK)
		}
		res, err := http.Get(a.OperatorsURL() + "/events")
		convey.So(err, convey.ShouldBeNil)
		convey.So(res.StatusCode, convey.ShouldEqual, http.StatusOK)
		convey.So(res.Body.Close(), convey.ShouldBeNil)
	})
}

func TestFleetSettings(t *testing.T) {
	cases := map[string]FleetConfig{
		"a certificate without its key":                    {Listen: loopback, CertFile: "cert.pem", CAFile: "ca.pem"},
		"files that do not exist":                          {Listen: loopback, CertFile: "cert.pem", KeyFile: "key.pem", CAFile: "ca.pem"},
		"an unspecified address without an advertised one": {Listen: netip.MustParseAddrPort("0.0.0.0:0"), Credentials: &link.Credentials{}},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := New(Config{Name: "host-1", Zone: "mid-a", Callers: loopback, Operators: loopback, Fleet: f}, fake.NewStore(), zerolog.Nop())
			var settings *FleetConfigError
			var files *link.CredentialFileError
			if !errors.As(err, &settings) && !errors.As(err, &files) {
				t.Fatalf("got %v", err)
			}
		})
	}
}
