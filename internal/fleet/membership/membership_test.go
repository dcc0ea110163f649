package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func host(name string, incarnation uint64) Host {
	return Host{Name: name, Zone: "mid-a", Address: netip.MustParseAddrPort("10.0.0.1:7300"), Incarnation: incarnation}
}

func TestTable(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	cases := map[string]struct {
		do   func(*Table)
		want State
		gone bool
	}{
		"a list makes a host seeded": {do: func(t *Table) { t.AddListed(start, host("a", 1)) }, want: Seeded},
		"a link makes a host alive": {do: func(t *Table) {
			t.AddListed(start, host("a", 1))
			t.LinkUp(start, host("a", 1))
		}, want: Alive},
		"a host without heartbeats becomes suspect": {do: func(t *Table) {
			t.LinkUp(start, host("a", 1))
			t.Tick(at(SuspectAfter))
		}, want: Suspect},
		"a heartbeat makes a suspect host alive": {do: func(t *Table) {
			t.LinkUp(start, host("a", 1))
			t.Tick(at(SuspectAfter))
			t.Heartbeat(at(4*time.Second), "a", Heartbeat{})
		}, want: Alive},
		"a late link of an older incarnation has no effect": {do: func(t *Table) {
			t.LinkUp(start, host("a", 2))
			t.Tick(at(SuspectAfter))
			t.LinkUp(at(4*time.Second), host("a", 1))
		}, want: Suspect},
		"a lagging list does not revive a host that left": {do: func(t *Table) {
			t.LinkUp(start, host("a", 1))
			t.Leave(start, "a")
			t.AddListed(at(time.Second), host("a", 1))
			t.Heartbeat(at(time.Second), "a", Heartbeat{})
		}, want: Left},
		"a host that left comes back with a new incarnation": {do: func(t *Table) {
			t.LinkUp(start, host("a", 1))
			t.Leave(start, "a")
			t.LinkUp(at(time.Second), host("a", 2))
		}, want: Alive},
		"a suspect host is forgotten after DefaultForgetAfter": {do: func(t *Table) {
			t.LinkUp(start, host("a", 1))
			t.Tick(at(SuspectAfter))
			t.Tick(at(SuspectAfter + DefaultForgetAfter))
		}, gone: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			convey.Convey(name, t, func() {
				tab := NewTable(0)
				c.do(tab)
				m, ok := tab.Get("a")
				convey.So(ok, convey.ShouldEqual, !c.gone)
				if ok {
					convey.So(m.State, convey.ShouldEqual, c.want)
				}
			})
		})
	}
}
