package queue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shallotramp/internal/traffic/request"
)

var start = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)

// everywhere is a supply with room for all.
var everywhere = Capacity{Slots: 100, FreeSlots: 100, HasRoom: func(int) bool { return true }}

func newQueue() *Queue {
	q := New(0)
	q.Configure(start, []ClassConfig{
		{Name: "chat", Tier: 1, Target: time.Second},
		{Name: "brief", Tier: 2, Floor: 0.1, Target: 5 * time.Second},
	}, map[string]float64{"large": 2})
	return q
}

var count int

// add puts an item of 100 tokens into the queue.
func add(q *Queue, class, org string, due time.Duration) *Item {
	count++
	it := &Item{
		Request: &request.Request{ID: request.ID(fmt.Sprintf("r%05d", count)), Class: class, Organisation: org, Arrived: start, Deadline: start.Add(time.Hour)},
		Due:     start.Add(due), Cost: 100,
	}
	q.Push(start, it)
	return it
}

// serve starts the next item, charges it and returns it; nil when none may start.
func serve(q *Queue, now time.Time, s Capacity) (*Item, bool) {
	it, floor := q.Next(now, s)
	if it == nil {
		return nil, false
	}
	q.Remove(now, it)
	q.Charge(now, it.Request.Class, it.Request.Organisation, it.Cost)
	q.Started(now, it.Request.Class)
	return it, floor
}

func TestHeapKeepsPlaces(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	places := map[int]int{}
	h := NewHeap(func(a, b int) bool { return a < b }, func(v, place int) { places[v] = place })
	in := map[int]bool{}
	for i := range 2000 {
		switch {
		case h.Len() == 0 || rng.IntN(3) > 0:
			h.Push(i)
			in[i] = true
		default:
			delete(in, h.Remove(rng.IntN(h.Len())))
		}
	}
	var want, got []int
	for v := range in {
		want = append(want, v)
		if h.At(places[v]) != v {
			t.Fatalf("%d is not at its place %d", v, places[v])
		}
	}
	for h.Len() > 0 {
		got = append(got, h.Pop())
	}
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestNextGoesByTierThenUseThenDue(t *testing.T) {
	q := newQueue()
	q.Started(start, "brief")
	q.Class("brief").PeerRunning = 50
	brief := add(q, "brief", "a", time.Second)
	late := add(q, "chat", "a", 3*time.Second)
	soon := add(q, "chat", "a", 2*time.Second)
	other := add(q, "chat", "b", 4*time.Second)
	q.Charge(start, "chat", "b", 50)
	for i, want := range []*Item{soon, other, late, brief} {
		if got, _ := serve(q, start, everywhere); got != want {
			t.Fatalf("start %d is %v, want %v", i, got.Request.ID, want.Request.ID)
		}
	}
}

func TestOrganisationsShareByWeightInTokens(t *testing.T) {
	q := newQueue()
	served := map[string]float64{}
	for i := range 400 {
		for _, org := range []string{"large", "small", "greedy"} {
			it := add(q, "chat", org, time.Hour)
			if org == "greedy" {
				// Its requests are far larger than the others'.
				q.Remove(start, it)
				it.Cost = 500
				q.Push(start, it)
			}
		}
		it, _ := serve(q, start.Add(time.Duration(i)*time.Second), everywhere)
		served[it.Request.Organisation] += it.Cost
	}
	if r := served["large"] / served["small"]; r < 1.8 || r > 2.2 {
		t.Errorf("weights 2 and 1 shared as %.2f", r)
	}
	if r := served["greedy"] / served["small"]; r < 0.9 || r > 1.1 {
		t.Errorf("larger requests shared as %.2f", r)
	}
}

func TestFloorServesALowerClassWithoutRoomForIt(t *testing.T) {
	q := newQueue()
	firstOnly := Capacity{Slots: 100, HasRoom: func(rank int) bool { return rank == 1 }}
	for range 30 {
		add(q, "chat", "a", time.Hour)
		add(q, "brief", "a", time.Hour)
	}
	var briefs int
	for range 30 {
		it, floor := serve(q, start, firstOnly)
		if it.Request.Class == "brief" {
			briefs++
			if !floor {
				t.Fatal("a lower class started beyond its floor")
			}
		}
	}
	if briefs != 10 {
		t.Errorf("%d started by the floor, want a tenth of 100 places", briefs)
	}
}

func TestClassWithoutFloorIsServedInEachWindow(t *testing.T) {
	q := New(1)
	q.Configure(start, []ClassConfig{{Name: "chat", Tier: 1}, {Name: "batch", Tier: 2}}, nil)
	add(q, "batch", "a", time.Hour)
	firstOnly := Capacity{Slots: 100, HasRoom: func(rank int) bool { return rank == 1 }}
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if it, _ := serve(q, now, firstOnly); it != nil {
			return
		}
	}
	t.Error("not served within 10 s")
}

func TestHigherTierOfAnotherHostGoesFirst(t *testing.T) {
	q := newQueue()
	q.Class("brief").PeerRunning = 50
	add(q, "brief", "a", time.Hour)
	q.Class("chat").PeerWaiting = 3
	if it, _ := q.Next(start, Capacity{Slots: 100, FreeSlots: 3, HasRoom: everywhere.HasRoom}); it != nil {
		t.Error("took a place that another host's higher tier needs")
	}
	if it, _ := q.Next(start, Capacity{Slots: 100, FreeSlots: 4, HasRoom: everywhere.HasRoom}); it == nil {
		t.Error("left a place that nobody needs")
	}
}

func TestShedTakesTheMostUsedAndSparesWhatRan(t *testing.T) {
	q := newQueue()
	q.Charge(start, "chat", "heavy", 10000)
	heavy := add(q, "chat", "heavy", time.Hour)
	resumed := add(q, "chat", "heavy", time.Hour)
	q.Remove(start, resumed)
	resumed.Resumed = true
	q.Push(start, resumed)
	light := add(q, "chat", "light", time.Hour)
	out := q.Shed(start, q.Class("chat"), 0, ShedFilter{MinUsage: 5000})
	if len(out) != 1 || out[0] != heavy {
		t.Fatalf("shed %v", out)
	}
	if !resumed.Waiting() || !light.Waiting() {
		t.Error("shed work that ran before or that is below the line")
	}
	if out = q.Shed(start, q.Class("chat"), 0, ShedFilter{ArrivedSince: start.Add(time.Second)}); len(out) != 0 {
		t.Error("shed work that had arrived before the cut")
	}
}

func TestPassRemovesWhatIsPastItsDeadline(t *testing.T) {
	q := newQueue()
	it := add(q, "chat", "a", time.Second)
	if out := q.Advance(start.Add(time.Minute)); len(out) != 0 || !it.Late() {
		t.Errorf("after a minute: removed %v, late %v", out, it.Late())
	}
	if out := q.Advance(start.Add(time.Hour)); len(out) != 1 || it.Waiting() {
		t.Errorf("after the deadline: removed %v", out)
	}
}

func TestLengthsEstimate(t *testing.T) {
	var l LengthEstimator
	for i := range 1000 {
		l.Observe(100 + i%100)
	}
	if m := l.Mean(); m < 140 || m > 160 {
		t.Errorf("mean %.0f", m)
	}
	if m := l.Quantile(0.95); m < 180 || m > 260 {
		t.Errorf("quantile %.0f", m)
	}
	if r := l.Remaining(150); r < 10 || r > 100 {
		t.Errorf("remaining %.0f", r)
	}
}

func TestPlacesAreLeftForAPartOfARequestsTime(t *testing.T) {
	q := newQueue()
	add(q, "chat", "large", time.Second)
	c := q.Class("chat")
	q.Charge(start, "chat", "large", 1000)
	c.PeerMinUsage, c.ServiceTime = 1, 200*time.Millisecond
	starts := func(after time.Duration) bool { it, _ := q.Next(start.Add(after), everywhere); return it != nil }
	if starts(0) || !starts(25*time.Millisecond) {
		t.Error("a place is not left at once, or for longer than an eighth of a request's time")
	}
}
