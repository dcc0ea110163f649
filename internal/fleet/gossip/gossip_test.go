package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/gossip"
)

// host is a gossip endpoint on its own loopback address.
type host struct {
	endpoint *gossip.Endpoint
	stop     func()

	mu sync.Mutex
	// packets holds a packet of each other host, by the sender's name.
	packets map[string]*gossip.Packet
}

func (h *host) packetFrom(name string) *gossip.Packet {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.packets[name]
}

// freePort returns a UDP port that is free on all loopback addresses of the test.
func freePort(t *testing.T) uint16 {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return netip.MustParseAddrPort(c.LocalAddr().String()).Port()
}

func startHost(name, zone, ip string, port uint16, seeds ...string) *host {
	h := &host{packets: map[string]*gossip.Packet{}}
	self := gossip.Self{Host: name, Zone: zone, Addr: netip.MustParseAddr(ip), Port: port}
	for _, s := range seeds {
		self.Seeds = append(self.Seeds, netip.MustParseAddr(s))
	}
	h.endpoint = gossip.New(self, func(p *gossip.Packet, c gossip.Contents) {
		p.TableVersion = 7
		if c.Counts {
			p.Counts = []*gossip.Counts{{Window: 1, Requests: map[string]int64{"org": 5}}}
		}
	}, func(p *gossip.Packet, m gossip.Member) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.packets[m.Host] == nil || len(p.GetCounts()) > 0 {
			h.packets[m.Host] = p
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go h.endpoint.Run(ctx, done)
	h.stop = func() { cancel(); <-done }
	return h
}

// eventually waits until another goroutine makes the condition true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestLastPacket(t *testing.T) {
	convey.Convey("A host that stops sends the others a last packet with its counts", t, func() {
		port := freePort(t)
		a := startHost("a", "zone-1", "127.0.21.1", port)
		defer a.stop()
		b := startHost("b", "zone-2", "127.0.21.2", port, "127.0.21.1")
		eventually(t, "packets between the two hosts", func() bool { return a.packetFrom("b") != nil && b.packetFrom("a") != nil })
		convey.So(a.packetFrom("b").GetLast(), convey.ShouldBeFalse)
		b.stop()
		eventually(t, "the last packet", func() bool { return a.packetFrom("b").GetLast() })
		convey.So(a.packetFrom("b").GetFull(), convey.ShouldBeTrue)
		convey.So(len(a.packetFrom("b").GetCounts()), convey.ShouldEqual, 1)
	})
}

func TestHostsFindEachOther(t *testing.T) {
	port := freePort(t)
	a := startHost("a/1", "z-a", "127.0.0.11", port, "127.0.0.99")
	b := startHost("b/1", "z-a", "127.0.0.12", port, "127.0.0.11")
	c := startHost("c/1", "z-b", "127.0.0.13", port, "127.0.0.11")
	defer a.stop()
	defer c.stop()
	eventually(t, "packets between two hosts that share only a seed", func() bool {
		return b.packetFrom("c/1") != nil && c.packetFrom("b/1") != nil && a.packetFrom("b/1") != nil
	})
	eventually(t, "usage counts from a host of the zone", func() bool { return len(a.packetFrom("b/1").GetCounts()) > 0 })
	convey.Convey("The state that a host sends arrives", t, func() {
		convey.So(b.packetFrom("c/1").GetTableVersion(), convey.ShouldEqual, 7)
		convey.So(a.packetFrom("b/1").GetCounts()[0].GetRequests()["org"], convey.ShouldEqual, 5)
		convey.So(len(a.endpoint.Members(time.Now())), convey.ShouldEqual, 2)
		convey.Convey("and a silent host is no longer a member", func() {
			b.stop()
			convey.So(len(a.endpoint.Members(time.Now().Add(10*time.Second))), convey.ShouldEqual, 0)
		})
	})
}
