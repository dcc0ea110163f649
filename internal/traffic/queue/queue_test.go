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

// unlimited has a free slot for every item.
var unlimited = Capacity{Slots: 100, FreeSlots: 100, HasRoom: func(int) bool { return true }}

func newQueue() *Queue {
	q := New(0)
	q.Configure(start, []ClassConfig{
		{Name: "chat", Tier: 1, Target: time.Second},
		{Name: "brief", Tier: 2, Floor: 0.1, Target: 5 * time.Second},
	}, map[string]float64{"large": 2})
	return q
}

var itemCount int

// add queues an item with a cost of 100 tokens that is due at start plus due.
func add(q *Queue, class, org string, due time.Duration) *Item {
	itemCount++
	it := &Item{
		Request: &request.Request{ID: request.ID(fmt.Sprintf("r%05d", itemCount)), Class: class, Organisation: org, Arrived: start, Deadline: start.Add(time.Hour)},
		Due:     start.Add(due), Cost: 100,
	}
	q.Push(start, it)
	return it
}

// serve starts the next item, charges its cost to its organisation and returns it with the result
// floor of Next; nil if none may start.
func serve(q *Queue, now time.Time, capacity Capacity) (*Item, bool) {
	it, floor := q.Next(now, capacity)
	if it == nil {
		return nil, false
	}
	q.Remove(now, it)
	q.Charge(now, it.Request.Class, it.Request.Organisation, it.Cost)
	q.Started(now, it.Request.Class)
	return it, floor
}

func TestHeapReportsIndexes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	indexes := map[int]int{}
	h := NewHeap(func(a, b int) bool { return a < b }, func(v, index int) { indexes[v] = index })
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
		if h.At(indexes[v]) != v {
			t.Fatalf("%d is not at its reported index %d", v, indexes[v])
		}
	}
	for h.Len() > 0 {
		got = append(got, h.Pop())
	}
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("popped %v, want %v", got, want)
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
		if got, _ := serve(q, start, unlimited); got != want {
			t.Fatalf("item %d to start is %v, want %v", i, got.Request.ID, want.Request.ID)
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
				// This organisation's requests cost 5 times as much as the others'.
				q.Remove(start, it)
				it.Cost = 500
				q.Push(start, it)
			}
		}
		it, _ := serve(q, start.Add(time.Duration(i)*time.Second), unlimited)
		served[it.Request.Organisation] += it.Cost
	}
	if r := served["large"] / served["small"]; r < 1.8 || r > 2.2 {
		t.Errorf("organisations with weights 2 and 1 were served tokens in the ratio %.2f, want about 2", r)
	}
	if r := served["greedy"] / served["small"]; r < 0.9 || r > 1.1 {
		t.Errorf("organisations with larger and smaller requests were served tokens in the ratio %.2f, want about 1", r)
	}
}

func TestFloorServesALowerClassWithoutRoomForIt(t *testing.T) {
	q := newQueue()
	firstOnly := Capacity{Slots: 100, HasRoom: func(rank int) bool { return rank == 1 }}
	for range 30 {
		add(q, "chat", "a", time.Hour)
		add(q, "brief", "a", time.Hour)
	}
	var served int
	for range 30 {
		it, floor := serve(q, start, firstOnly)
		if it.Request.Class == "brief" {
			served++
			if !floor {
				t.Fatal("a class of a lower tier started an item other than by its floor")
			}
		}
	}
	if served != 10 {
		t.Errorf("%d items started by the floor, want a tenth of 100 slots", served)
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
	t.Error("the class without a floor was not served within 10 s")
}

func TestHigherTierOfAnotherHostGoesFirst(t *testing.T) {
	q := newQueue()
	q.Class("brief").PeerRunning = 50
	add(q, "brief", "a", time.Hour)
	q.Class("chat").PeerWaiting = 3
	if it, _ := q.Next(start, Capacity{Slots: 100, FreeSlots: 3, HasRoom: unlimited.HasRoom}); it != nil {
		t.Error("started an item in a slot that a higher tier on another host needs")
	}
	if it, _ := q.Next(start, Capacity{Slots: 100, FreeSlots: 4, HasRoom: unlimited.HasRoom}); it == nil {
		t.Error("started nothing although a slot was free that no other host needs")
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
		t.Fatalf("shed %v, want only the item of the organisation with most usage", out)
	}
	if !resumed.Waiting() || !light.Waiting() {
		t.Error("shed an item that ran before or that has less than MinUsage before it")
	}
	if out = q.Shed(start, q.Class("chat"), 0, ShedFilter{ArrivedSince: start.Add(time.Second)}); len(out) != 0 {
		t.Error("shed an item that arrived before ArrivedSince")
	}
}

func TestAdvanceRemovesWhatIsPastItsDeadline(t *testing.T) {
	q := newQueue()
	it := add(q, "chat", "a", time.Second)
	if out := q.Advance(start.Add(time.Minute)); len(out) != 0 || !it.Late() {
		t.Errorf("after a minute: removed %v and late is %v, want nothing removed and late", out, it.Late())
	}
	if out := q.Advance(start.Add(time.Hour)); len(out) != 1 || it.Waiting() {
		t.Errorf("after the deadline: removed %v, want the item", out)
	}
}

func TestLengthsEstimate(t *testing.T) {
	var l LengthEstimator
	for i := range 1000 {
		l.Observe(100 + i%100)
	}
	if m := l.Mean(); m < 140 || m > 160 {
		t.Errorf("mean is %.0f, want 140 to 160", m)
	}
	if m := l.Quantile(0.95); m < 180 || m > 260 {
		t.Errorf("0.95 quantile is %.0f, want 180 to 260", m)
	}
	if r := l.Remaining(150); r < 10 || r > 100 {
		t.Errorf("remaining after 150 tokens is %.0f, want 10 to 100", r)
	}
}

func TestYieldTimeIsLimitedByServiceTime(t *testing.T) {
	q := newQueue()
	add(q, "chat", "large", time.Second)
	c := q.Class("chat")
	q.Charge(start, "chat", "large", 1000)
	c.PeerMinUsage, c.ServiceTime = 1, 200*time.Millisecond
	starts := func(after time.Duration) bool { it, _ := q.Next(start.Add(after), unlimited); return it != nil }
	if starts(0) || !starts(25*time.Millisecond) {
		t.Error("the class did not leave the slot to the other host, or left it for longer than an eighth of the service time")
	}
}
