package order_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/order"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func newStartedCore(checksFence bool) *order.Core {
	c := order.NewCore("host-1", "runner-1", checksFence, order.DefaultTiming())
	c.Begin(start, 7)
	return c
}

func load(model string) order.Order {
	return order.Order{Action: order.LoadModel, Receiver: "runner-1", Model: model}
}

// TestWriteWithoutAnswer guards against an order that is recorded or carried out twice, after the response to the first
// write of its intent was lost.
func TestWriteWithoutAnswer(t *testing.T) {
	for name, written := range map[string]bool{
		"that took effect is resumed, and not sent as a second order": true,
		"that had no effect is repeated under the same intent name":   false,
	} {
		t.Run(name, func(t *testing.T) {
			c := newStartedCore(true)
			c.ReadDone(start, order.Intent{}, "", false)
			if err := c.Add(load("a")); err != nil {
				t.Fatal(err)
			}
			first := c.Next(start)
			c.WriteDone(start, order.Unknown, "")
			now := start.Add(time.Minute)
			if got := c.Next(now); got.Step != order.ReadIntent {
				t.Fatal(got)
			}
			c.ReadDone(now, first.Intent, "1", written)
			again := c.Next(now)
			want := order.AskReceiver
			if !written {
				want = order.WriteIntent
			}
			if again.Step != want || again.Intent.Name != first.Intent.Name || c.Queued() != 0 {
				t.Fatalf("the next call is %+v after %+v, want the same intent again", again, first)
			}
			if written {
				c.QueryDone(now, true, true)
				c.WriteDone(now, order.Done, "2")
				if e := c.Next(now); e.Step != order.Nothing {
					t.Fatalf("the order was planned a second time: %+v", e)
				}
			}
		})
	}
}

// TestPredecessorsOpenIntent guards against an intent of a previous lease holder that is lost or carried out twice.
func TestPredecessorsOpenIntent(t *testing.T) {
	open := order.Intent{Name: "runner-1-6-3", Number: 3, Order: load("b"), Holder: "host-0", Fence: 6, Open: true}
	convey.Convey("An intent that a predecessor left open", t, func() {
		c := newStartedCore(false)
		c.ReadDone(start, open, "9", true)
		convey.So(c.Add(load("c")), convey.ShouldBeNil)
		e := c.Next(start)
		convey.So(e.Step, convey.ShouldEqual, order.WriteIntent)
		convey.So(e.Intent.Fence, convey.ShouldEqual, 7)
		c.WriteDone(start, order.Done, "10")
		convey.Convey("waits if the receiver ignores fencing numbers", func() {
			convey.So(c.Next(start), convey.ShouldResemble, order.Effect{Wait: order.DefaultTiming().PredecessorWait})
		})
		after := start.Add(order.DefaultTiming().PredecessorWait)
		convey.So(c.Next(after).Step, convey.ShouldEqual, order.AskReceiver)
		convey.Convey("is sent under its own name if the receiver has not carried it out", func() {
			c.QueryDone(after, false, true)
			e = c.Next(after)
			convey.So(e.Step, convey.ShouldEqual, order.SendOrder)
			convey.So(e.Intent.Name, convey.ShouldEqual, open.Name)
		})
		convey.Convey("is closed without a send if it took effect, before a new order is sent", func() {
			c.QueryDone(after, true, true)
			e = c.Next(after)
			convey.So(e.Step, convey.ShouldEqual, order.WriteIntent)
			convey.So(e.Intent.Open, convey.ShouldBeFalse)
		})
		convey.Convey("is queried again if the query failed", func() {
			c.QueryDone(after, false, false)
			convey.So(c.Next(after).Step, convey.ShouldEqual, order.Nothing)
			convey.So(c.Next(after.Add(time.Minute)).Step, convey.ShouldEqual, order.AskReceiver)
		})
	})
}

// TestLostLease guards against a core that continues after the lease has ended or a newer holder was detected.
func TestLostLease(t *testing.T) {
	for name, f := range map[string]func(c *order.Core){
		"the lease ends": func(c *order.Core) { c.End() },
		"the stored intent has a higher fencing number": func(c *order.Core) { c.ReadDone(start, order.Intent{Fence: 8}, "1", true) },
		"the receiver has seen a higher fencing number": func(c *order.Core) {
			c.ReadDone(start, order.Intent{}, "", false)
			_ = c.Add(load("a"))
			c.Next(start)
			c.WriteDone(start, order.Done, "1")
			c.Next(start)
			c.SendDone(start, order.Stale, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newStartedCore(true)
			f(c)
			if c.State() != order.Stopped || c.Next(start).Step != order.Nothing || c.Add(load("b")) == nil {
				t.Fatalf("the core continues in state %s", c.State())
			}
		})
	}
}

// TestNameIsNotReusedInTheSameTerm guards against two orders with one intent name, of which the receiver would carry
// out only one. It can happen when a process loses the lease during a write and gets it back under the same fencing
// number.
func TestNameIsNotReusedInTheSameTerm(t *testing.T) {
	c := newStartedCore(true)
	c.ReadDone(start, order.Intent{}, "", false)
	_ = c.Add(load("a"))
	first := c.Next(start)
	c.End() // the write of order a is in flight
	c.Begin(start, 7)
	c.ReadDone(start, order.Intent{}, "", false)
	_ = c.Add(load("b"))
	second := c.Next(start)
	if first.Intent.Name == second.Intent.Name {
		t.Fatalf("two orders have the intent name %s", first.Intent.Name)
	}
	c.WriteDone(start, order.Stale, "")
	c.ReadDone(start, first.Intent, "1", true) // the write of order a took effect
	if e := c.Next(start); e.Step != order.AskReceiver || e.Intent.Name != first.Intent.Name {
		t.Fatalf("%+v", e)
	}
	c.QueryDone(start, true, true)
	c.WriteDone(start, order.Done, "2")
	if e := c.Next(start); e.Intent.Name != second.Intent.Name || e.Version != "2" {
		t.Fatalf("the second order was lost: %+v", e)
	}
}
