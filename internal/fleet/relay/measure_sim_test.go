package relay

import (
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotramp/internal/fleet/exchange"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// messageBytes is the length before a message, frameBytes the header of a yamux frame and the header, tag and
	// type of a TLS record, which the messages of one event share.
	messageBytes = 2
	frameBytes   = 12 + 22
	// warmUp lets links open and relays begin.
	warmUp = 15 * time.Second
	// pollInterval is how often load is polled.
	pollInterval = time.Second
	// fleetServers and fleetZones are of the two-year size.
	fleetServers = 1100
	fleetZones   = 16
)

// traffic counts the bytes that each host sends and receives.
type traffic struct{ sent, received map[string]int }

func (s *sim) count(from, to *simHost, e *wire.Envelope, first bool) {
	if s.traffic == nil {
		return
	}
	n := proto.Size(e) + messageBytes
	if first {
		n += frameBytes
	}
	s.traffic.sent[from.self.Name] += n
	s.traffic.received[to.self.Name] += n
}

// load gives each host the work of the two-year size.
func (s *sim) load() {
	for i, name := range s.names() {
		h := s.hosts[name]
		w := NewWorkload(uint64(i), fleetServers/fleetZones)
		h.state = func() dispatch.HostState { return w.At(s.now) }
		var poll func()
		poll = func() {
			zone := []string{h.self.Name}
			for m := range h.core.table.Each() {
				if m.Zone == h.self.Zone {
					zone = append(zone, m.Name)
				}
			}
			polls := func(server string) bool { return exchange.Owner(server, zone) == h.self.Name }
			h.core.Loads(s.now, w.Loads(s.now, polls))
			s.after(pollInterval, poll)
		}
		s.after(time.Duration(s.rand.Int64N(int64(pollInterval))), poll)
	}
}

// season lets each host have named all organisations and classes, as after the first minutes of its life.
func (s *sim) season() {
	all := dispatch.HostState{ServedTokens: map[string]map[string]int64{}}
	for _, class := range workClasses {
		all.ServedTokens[class] = map[string]int64{}
		for i := range workOrgs {
			all.ServedTokens[class][orgName(i)] = 1
		}
	}
	for _, h := range s.hosts {
		for _, e := range []*exchange.Encoder{h.core.states.own, h.core.states.zone, h.core.states.rest} {
			limit := e.SetLimit(wire.MaxMessageBytes)
			e.Encode(s.now, &all)
			e.SetLimit(limit)
		}
	}
}

// BenchmarkFleet runs fleets on virtual time and counts what each host sends and receives, the calls of the
// platform, and the time from a commit until the release is in force on each host.
func BenchmarkFleet(b *testing.B) {
	sizes := [][2]int{{1, 8}, {1, 16}, {1, 23}, {4, 2}, {8, 2}, {16, 2}}
	for _, size := range sizes {
		zones, hosts := size[0], size[1]
		for _, seasoned := range []bool{false, true} {
			if seasoned && zones > 1 {
				continue
			}
			b.Run(fmt.Sprintf("zones=%d/hosts=%d/seasoned=%t", zones, hosts, seasoned), func(b *testing.B) {
				for range b.N {
					measureFleet(b, zones, hosts, seasoned)
				}
			})
		}
	}
}

// BenchmarkWholeFleet is [BenchmarkFleet] at the two-year size and runs only when asked for, for it takes minutes.
func BenchmarkWholeFleet(b *testing.B) {
	if os.Getenv("SHALLOTRAMP_WHOLE_FLEET") == "" {
		b.Skip("set SHALLOTRAMP_WHOLE_FLEET=1 to run it")
	}
	for range b.N {
		measureFleet(b, fleetZones, 23, true)
	}
}

func measureFleet(b *testing.B, zones, hosts int, seasoned bool) {
	s := newSim(b, zones, hosts)
	s.publish()
	if seasoned {
		s.season()
	}
	s.load()
	s.run(warmUp)
	const window = 10 * time.Second
	s.traffic = &traffic{map[string]int{}, map[string]int{}}
	s.reads, s.writes = 0, 0
	begin := time.Now()
	s.run(window)
	cpu := time.Since(begin)
	relay, host := 0, 0
	for name := range s.hosts {
		n := (s.traffic.sent[name] + s.traffic.received[name]) / int(window.Seconds())
		if s.hosts[name].core.acting {
			relay = max(relay, n)
		} else {
			host = max(host, n)
		}
	}
	b.ReportMetric(float64(host), "host-B/s")
	b.ReportMetric(float64(relay), "relay-B/s")
	b.ReportMetric(float64(s.reads+s.writes)/window.Seconds(), "platform-calls/s")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/float64(len(s.hosts)), "%core/node")
	worst := time.Duration(0)
	for range 5 {
		worst = max(worst, s.lag(s.publish(), time.Minute))
		s.run(2 * time.Second)
	}
	b.ReportMetric(worst.Seconds(), "in-force-s")
}
