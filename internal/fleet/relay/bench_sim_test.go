package relay

import (
	"fmt"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"shallotramp/internal/fleet/statesync"
	"shallotramp/internal/fleet/wire"
	"shallotramp/internal/traffic/dispatch"
)

const (
	// messageBytes is the size of the length prefix of a message. frameBytes is the size of the header of a yamux frame
	// and of the header, tag and type of a TLS record, which are shared by messages sent together.
	messageBytes = 2
	frameBytes   = 12 + 22
	// warmUp is the time for links to open and relays to start.
	warmUp = 15 * time.Second
	// pollInterval is how often a host polls the load of servers.
	pollInterval = time.Second
	// fleetServers and fleetZones are the fleet size planned in two years.
	fleetServers = 1100
	fleetZones   = 16
)

// traffic counts the bytes that each host sends and receives.
type traffic struct{ sent, received map[string]int }

// countTraffic counts the bytes of e. It adds the headers of a frame if e is the first message of its frame.
func (s *sim) countTraffic(from, to *simHost, e *wire.Envelope, first bool) {
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

// startWorkload gives each host the workload of a host at the planned fleet size.
func (s *sim) startWorkload() {
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
			polls := func(server string) bool { return statesync.Owner(server, zone) == h.self.Name }
			h.core.ShareLoads(s.now, w.Loads(s.now, polls))
			s.after(pollInterval, poll)
		}
		s.after(time.Duration(s.rand.Int64N(int64(pollInterval))), poll)
	}
}

// fillNameTables puts all organisations and classes into the name tables of the hosts' encoders, as they are some
// minutes after the start. Messages then no longer include these names.
func (s *sim) fillNameTables() {
	all := dispatch.HostState{ServedTokens: map[string]map[string]int64{}}
	for _, class := range workloadClasses {
		all.ServedTokens[class] = map[string]int64{}
		for i := range workloadOrgs {
			all.ServedTokens[class][orgName(i)] = 1
		}
	}
	for _, h := range s.hosts {
		for _, e := range []*statesync.Encoder{h.core.states.ownEncoder, h.core.states.zoneEncoder, h.core.states.otherZonesEncoder} {
			limit := e.SetLimit(wire.MaxMessageBytes)
			e.Encode(s.now, &all)
			e.SetLimit(limit)
		}
	}
}

// BenchmarkFleet runs fleets on virtual time. It reports the bytes per second that a host sends and receives, the calls
// to the platform, and the time from the commit of a release until it is in force on each host. The
// subtests with seasoned=true fill the name tables first, see fillNameTables.
func BenchmarkFleet(b *testing.B) {
	sizes := [][2]int{{1, 8}, {1, 16}, {1, 23}, {4, 2}, {8, 2}, {16, 2}}
	for _, size := range sizes {
		zones, hosts := size[0], size[1]
		for _, fullNameTables := range []bool{false, true} {
			if fullNameTables && zones > 1 {
				continue
			}
			b.Run(fmt.Sprintf("zones=%d/hosts=%d/seasoned=%t", zones, hosts, fullNameTables), func(b *testing.B) {
				for range b.N {
					measureFleet(b, zones, hosts, fullNameTables)
				}
			})
		}
	}
}

// BenchmarkWholeFleet is [BenchmarkFleet] at the fleet size planned in two years. It takes minutes, so it runs only if
// SHALLOTRAMP_WHOLE_FLEET is set.
func BenchmarkWholeFleet(b *testing.B) {
	if os.Getenv("SHALLOTRAMP_WHOLE_FLEET") == "" {
		b.Skip("set SHALLOTRAMP_WHOLE_FLEET=1 to run it")
	}
	for range b.N {
		measureFleet(b, fleetZones, 23, true)
	}
}

func measureFleet(b *testing.B, zones, hosts int, fullNameTables bool) {
	s := newSim(b, zones, hosts)
	s.publish()
	if fullNameTables {
		s.fillNameTables()
	}
	s.startWorkload()
	s.run(warmUp)
	const window = 10 * time.Second
	s.traffic = &traffic{map[string]int{}, map[string]int{}}
	s.reads, s.writes = 0, 0
	begin := time.Now()
	s.run(window)
	cpu := time.Since(begin)
	relayRate, hostRate := 0, 0
	for name := range s.hosts {
		n := (s.traffic.sent[name] + s.traffic.received[name]) / int(window.Seconds())
		if s.hosts[name].core.acting {
			relayRate = max(relayRate, n)
		} else {
			hostRate = max(hostRate, n)
		}
	}
	b.ReportMetric(float64(hostRate), "host-B/s")
	b.ReportMetric(float64(relayRate), "relay-B/s")
	b.ReportMetric(float64(s.reads+s.writes)/window.Seconds(), "platform-calls/s")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/float64(len(s.hosts)), "%core/node")
	worst := time.Duration(0)
	for range 5 {
		worst = max(worst, s.runUntilReached(s.publish(), time.Minute))
		s.run(2 * time.Second)
	}
	b.ReportMetric(worst.Seconds(), "in-force-s")
}
