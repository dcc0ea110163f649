package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/controller"
	"shallotramp/internal/capacity/order"
	"shallotramp/internal/provider/fake"
	"shallotramp/internal/provider/ordering"
	"shallotramp/internal/provider/store"
)

func openIntents(t *testing.T, list []store.Object) int {
	t.Helper()
	n := 0
	for _, o := range list {
		var in order.Intent
		if err := json.Unmarshal(o.Spec, &in); err != nil {
			t.Fatal(err)
		}
		if in.Open {
			n++
		}
	}
	return n
}

// permanentLease is a lease that never ends. Its value is the fencing number.
type permanentLease uint64

func (l permanentLease) Held(time.Time) (uint64, bool) { return uint64(l), true }
func (l permanentLease) Valid(time.Time) bool          { return true }

// TestLoadLimit guards against overload of the weight store after a change of the lease holder: the previous holder
// may have used the whole burst of the limit just before.
func TestLoadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &faultySender{src: rand.New(rand.NewPCG(1, 1)), receivers: map[string]*fake.OrderReceiver{}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		c := controller.New("host-1", fake.NewStore(), permanentLease(1), w, func(string) bool { return true },
			controller.WithWeightLoadLimit(20*time.Second, 2))
		go c.Run(ctx, done)
		startedAt := time.Now()
		time.Sleep(time.Second)
		for i := range 10 {
			name := fmt.Sprintf("runner-%d", i)
			w.receivers[name] = fake.NewOrderReceiver(true)
			if err := c.Order(ctx, order.Order{Action: order.LoadModel, Receiver: name, Model: "briefing"}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(110 * time.Second)
		loads := 0
		for _, r := range w.receivers {
			loads += len(r.All())
		}
		stop()
		<-done
		convey.Convey("a new holder starts without tokens for the weight load limit", t, func() {
			convey.So(loads, convey.ShouldEqual, int(time.Since(startedAt)/(20*time.Second)))
		})
	})
}

// countingStore counts the calls of List.
type countingStore struct {
	store.Store
	lists atomic.Int64
}

func (s *countingStore) List(ctx context.Context, kind string) ([]store.Object, string, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, kind)
}

// TestPlatformDown guards against a controller that retries a failed list without a delay. This once kept a CPU core busy.
func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fake.NewStore()
		st.SetFaults(fake.Faults{Down: true})
		s := &countingStore{Store: st}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		c := controller.New("host-1", s, permanentLease(1), &faultySender{}, func(string) bool { return true })
		go c.Run(ctx, done)
		time.Sleep(time.Minute)
		stop()
		<-done
		if n := s.lists.Load(); n < 10 || n > 60 {
			t.Fatalf("the controller listed the intents %d times in a minute, want 10 to 60", n)
		}
	})
}

func TestOrdersOverHTTP(t *testing.T) {
	r := fake.NewOrderReceiver(true)
	srv := httptest.NewServer(r.Handler())
	defer srv.Close()
	c := ordering.NewClient(func(string) (string, bool) { return srv.URL, true })
	in := order.Intent{Name: "zone-mid-a-7-1", Fence: 7, Holder: "host-1", Order: order.Order{Action: order.StartServers, Receiver: order.ZoneReceiver("mid-a"), Count: 2}}
	send := func(in order.Intent) order.Result { res, _ := c.Send(t.Context(), in); return res }
	convey.Convey("The HTTP client and the fake receiver agree", t, func() {
		applied, err := c.Applied(t.Context(), in)
		convey.So(applied || err != nil, convey.ShouldBeFalse)
		convey.So(send(in), convey.ShouldEqual, order.Done)
		convey.So(send(in), convey.ShouldEqual, order.Done)
		applied, err = c.Applied(t.Context(), in)
		convey.So(applied && err == nil, convey.ShouldBeTrue)
		old := in
		old.Name, old.Fence = "zone-mid-a-6-1", 6
		convey.So(send(old), convey.ShouldEqual, order.Stale)
		r.SetFaults(fake.OrderFaults{Down: true})
		convey.So(send(in), convey.ShouldEqual, order.Unknown)
		all := r.All()
		convey.So(all, convey.ShouldHaveLength, 3)
		convey.So(all[0].Intent.Order.Count, convey.ShouldEqual, 2)
		convey.So([]bool{all[0].Acted, all[1].Acted, all[2].Acted}, convey.ShouldResemble, []bool{true, false, false})
	})
}

func ExampleController() {
	receiver := fake.NewOrderReceiver(true)
	w := &faultySender{src: rand.New(rand.NewPCG(1, 1)), receivers: map[string]*fake.OrderReceiver{"runner-1": receiver}}
	c := controller.New("host-1", fake.NewStore(), permanentLease(4), w, func(string) bool { return true })
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go c.Run(ctx, done)
	o := order.Order{Action: order.LoadModel, Receiver: "runner-1", Model: "briefing"}
	for c.Order(ctx, o) != nil {
		time.Sleep(10 * time.Millisecond) // until the controller has checked its lease
	}
	for len(receiver.All()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	<-done
	fmt.Println(receiver.All()[0].Intent.Name)
	// Output: runner-1-4-1
}
