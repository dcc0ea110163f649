package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/fleet/acceptance"
	"shallotramp/internal/fleet/link/testcert"
	"shallotramp/internal/fleet/membership"
	"shallotramp/internal/fleet/relay"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/store"
)

const configurationFormat = `
Kind: Organisation
Name: river
---
Kind: Key
Name: river-1
Organisation: river
Digest: %s
`

// cluster runs nodes over loopback with one fake platform.
type cluster struct {
	t     testing.TB
	ca    *testcert.Authority
	store *fake.Store
	nodes map[string]*runningNode
	// workload is the dispatcher's workload of the nodes that are started next; nil for no dispatcher.
	workload *relay.Workload
}

type runningNode struct {
	*relay.Node
	holder *release.Holder
	ctx    context.Context
	cancel context.CancelFunc
	done   chan error
}

func newCluster(t testing.TB) *cluster {
	ca, err := testcert.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{t: t, ca: ca, store: fake.NewStore(), nodes: map[string]*runningNode{}}
	t.Cleanup(func() {
		for _, r := range c.nodes {
			r.cancel()
		}
		for name := range c.nodes {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) start(name, zone string) *runningNode {
	return c.startWithStore(name, zone, c.store)
}

func (c *cluster) startWithStore(name, zone string, st store.Store, seeds ...netip.AddrPort) *runningNode {
	m, err := c.ca.HostCredentials(name)
	if err != nil {
		c.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	self := membership.Host{Name: name, Zone: zone, Address: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: uint64(time.Now().UnixNano())}
	r := &runningNode{holder: &release.Holder{}, done: make(chan error, 1)}
	cfg := relay.Config{Self: self, Seeds: seeds, Listener: ln, Source: m, Store: st, Holder: r.holder, Log: zerolog.Nop()}
	if c.workload != nil {
		cfg.Dispatcher = workloadDispatcher{c.workload}
	}
	r.Node = relay.NewNode(cfg)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.Run(r.ctx, r.done)
	c.nodes[name] = r
	return r
}

func (c *cluster) stop(name string) {
	r := c.nodes[name]
	delete(c.nodes, name)
	r.cancel()
	if err := <-r.done; err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) publish(keys ...string) uint64 {
	c.t.Helper()
	set := object.NewSet()
	for i, k := range keys {
		text := fmt.Sprintf(configurationFormat, object.DigestOf(k))
		if i > 0 {
			text = text[strings.Index(text, "---"):]
			text = strings.ReplaceAll(text, "river-1", fmt.Sprintf("river-%d", i+1))
		}
		if errs := object.Read(set, "test", strings.NewReader(text)); len(errs) > 0 {
			c.t.Fatal(errs)
		}
	}
	head, _, err := release.ReadHead(context.Background(), c.store)
	if err != nil {
		c.t.Fatal(err)
	}
	e, err := release.Publish(context.Background(), c.store, release.Publication{Base: head.Number, Set: set, Author: "test"}, time.Now())
	if err != nil {
		c.t.Fatal(err)
	}
	return e.Number
}

// eventually waits until ok returns true, and fails the test after a timeout.
func (c *cluster) eventually(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *cluster) inForceEverywhere(number uint64) func() bool {
	return func() bool {
		for _, r := range c.nodes {
			if s := r.holder.Current(); s == nil || s.Number < number {
				return false
			}
		}
		return true
	}
}

func (c *cluster) linked(want int) func() bool {
	return func() bool {
		for _, r := range c.nodes {
			if len(r.View().Linked) < want {
				return false
			}
		}
		return true
	}
}

func TestNodesSpreadReleases(t *testing.T) {
	convey.Convey("Releases reach all hosts of two zones of three hosts over loopback", t, func() {
		c := newCluster(t)
		c.publish("first", "second")
		for _, zone := range []string{"mid-a", "mid-b"} {
			for i := range 3 {
				c.start(fmt.Sprintf("%s-%d", zone, i), zone)
			}
		}
		c.eventually("all hosts are linked with the hosts of their zone", c.linked(2))
		c.eventually("the first release is in force on all hosts", c.inForceEverywhere(1))
		c.eventually("each zone has one relay", func() bool {
			return c.nodes["mid-a-0"].View().Acting && c.nodes["mid-b-0"].View().Acting
		})

		// A host that starts while the platform is down gets the release and its confirmation from its seed.
		down := fake.NewStore()
		down.SetFaults(fake.Faults{Down: true})
		late := c.startWithStore("mid-a-9", "mid-a", down, c.nodes["mid-a-1"].Address())
		c.eventually("the host started without the platform is ready", func() bool { return late.View().Ready })
		convey.So(late.holder.Current().Number, convey.ShouldEqual, 1)
		c.eventually("the host started without the platform has a confirmation", func() bool { return !late.holder.Confirmed().IsZero() })

		// A withdrawn key is unknown on each host, including the one that cannot reach the platform.
		n := c.publish("first")
		c.eventually("the new release is in force on all hosts", c.inForceEverywhere(n))
		for _, r := range c.nodes {
			_, ok := r.holder.Current().KeyByDigest(object.DigestOf("second"), time.Now())
			convey.So(ok, convey.ShouldBeFalse)
		}

		// A planned stop is announced to the other hosts, and the host's object is deleted.
		c.stop("mid-a-2")
		c.eventually("the other hosts know that the host has left", func() bool {
			for _, m := range c.nodes["mid-a-1"].View().Members {
				if m.Name == "mid-a-2" {
					return m.State == membership.Left
				}
			}
			return false
		})
		_, err := c.store.Get(context.Background(), relay.HostKind, "mid-a-2")
		convey.So(store.Failed(err, store.NotFound), convey.ShouldBeTrue)
		c.eventually("the platform has the status of the zone", func() bool {
			_, err := c.store.Get(context.Background(), acceptance.Kind, "mid-b")
			return err == nil
		})
	})
}
