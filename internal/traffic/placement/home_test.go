package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/placement"
	"shallotramp/internal/traffic/request"
)

// zonedEngines returns perZone engines in each of the availability zones a to d.
func zonedEngines(perZone int) []backend.Server {
	var out []backend.Server
	for _, zone := range []string{"a", "b", "c", "d"} {
		for i := range perZone {
			out = append(out, server("pool", fmt.Sprintf("%s-%d", zone, i), zone, 64))
		}
	}
	return out
}

// newFixtureIn returns a fixture of a host in the given availability zone.
func newFixtureIn(zone string, servers []backend.Server) *fixture {
	f := newFixture()
	placement.WithZone(zone)(f.Policy)
	f.SetServers(f.now, servers)
	return f
}

// reviewPrompt describes a prompt with a long shared prefix and a goal of seconds.
func reviewPrompt(document uint64) func(*request.Request) {
	return func(r *request.Request) {
		r.Pool, r.Streaming, r.PromptTokens, r.Goal = "pool", true, 17000, 2500*time.Millisecond
		r.Deadline = r.Arrived.Add(12 * time.Second)
		r.Parts = []request.Part{{ID: document, Tokens: 13300}, {ID: uint64(r.Arrived.UnixNano()), Tokens: 3700}}
	}
}

// startOf places one request and ends it, and returns the effect that started it.
func (f *fixture) startOf(modify func(*request.Request)) dispatch.Effect {
	id, e := f.arrive(modify)
	f.Progress(f.now, id, 1)
	f.finish(id, request.Completed)
	f.advance(50 * time.Millisecond)
	return e[0]
}

func TestHomes(t *testing.T) {
	const documents = 200
	engines := zonedEngines(5)
	homesOf := func(f *fixture) []string {
		out := make([]string, documents)
		for d := range out {
			out[d] = f.startOf(reviewPrompt(uint64(d) + 1)).Server
		}
		return out
	}
	convey.Convey("Long shared prefixes with a goal of seconds", t, func() {
		first := homesOf(newFixtureIn("a", engines))
		convey.Convey("have one home for hosts of all zones, which have exchanged nothing", func() {
			same := 0
			for d, s := range homesOf(newFixtureIn("c", engines)) {
				if s == first[d] {
					same++
				}
			}
			convey.So(same, convey.ShouldBeGreaterThan, documents*9/10)
		})
		convey.Convey("are spread over the engines", func() {
			byEngine := map[string]int{}
			for _, s := range first {
				byEngine[s]++
			}
			convey.So(len(byEngine), convey.ShouldBeGreaterThan, len(engines)/2)
			for _, n := range byEngine {
				convey.So(n, convey.ShouldBeLessThan, documents/4)
			}
		})
		convey.Convey("mostly keep their homes when one engine is replaced", func() {
			replaced := append([]backend.Server{server("pool", "a-new", "a", 64)}, engines[1:]...)
			moved := 0
			for d, s := range homesOf(newFixtureIn("a", replaced)) {
				if s != first[d] {
					moved++
				}
			}
			convey.So(moved, convey.ShouldBeLessThan, documents/4)
		})
	})
	convey.Convey("A prefix whose home is leaving is fetched from it", t, func() {
		f := newFixtureIn("a", engines)
		home := f.startOf(reviewPrompt(7)).Server
		leaving := append([]backend.Server(nil), engines...)
		for i := range leaving {
			leaving[i].Leaving = leaving[i].ID == home
		}
		f.SetServers(f.now, leaving)
		e := f.startOf(reviewPrompt(7))
		convey.So(e.Server, convey.ShouldNotEqual, home)
		convey.So(e.FetchFrom, convey.ShouldEqual, home)
	})
	convey.Convey("A home that has just started fetches the prefix from the former home", t, func() {
		f := newFixtureIn("a", engines)
		former := map[uint64]string{}
		for d := range uint64(documents) {
			former[d] = f.startOf(reviewPrompt(d + 1)).Server
		}
		f.advance(25 * time.Second) // The host's own knowledge of cached parts has expired.
		f.SetServers(f.now, append([]backend.Server{server("pool", "a-new", "a", 64), server("pool", "b-new", "b", 64)}, engines...))
		moved := 0
		for d := range uint64(documents) {
			if e := f.startOf(reviewPrompt(d + 1)); e.Server == "a-new" || e.Server == "b-new" {
				moved++
				convey.So(e.FetchFrom, convey.ShouldEqual, former[d])
			}
		}
		convey.So(moved, convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("A request goes to another engine if the home would start it too late", t, func() {
		f := newFixtureIn("a", engines)
		home := f.startOf(reviewPrompt(7)).Server
		f.UpdatePeer(f.now, placement.HostState{Host: "h", Work: map[string]placement.Work{home: {PendingPrefill: [placement.UrgencyLevels]int{200000}}}}, 2)
		e := f.startOf(reviewPrompt(7))
		convey.So(e.Server, convey.ShouldNotEqual, home)
		convey.So(e.FetchFrom, convey.ShouldEqual, home)
	})
}
