package order_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/order"
)

var begin = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func started(checks bool) *order.Core {
	c := order.NewCore("host-1", "runner-1", checks, order.DefaultTiming())
	c.Begin(begin, 7)
	return c
}

func load(model string) order.Order {
	return order.Order{Action: order.LoadModel, Receiver: "runner-1", Model: model}
}

func TestWriteWithoutAnswer(t *testing.T) {
	for name, landed := range map[string]bool{
		"that took effect is resumed, and not ordered twice": true,
		"that had no effect is repeated under the same name": false,
	} {
		t.Run(name, func(t *testing.T) {
			c := started(true)
			c.ReadDone(begin, order.Intent{}, "", false)
			if err := c.Add(load("a")); err != nil {
				t.Fatal(err)
			}
			first := c.Next(begin)
			c.WriteDone(begin, order.Unknown, "")
			now := begin.Add(time.Minute)
			if got := c.Next(now); got.Step != order.ReadIntent {
				t.Fatal(got)
			}
			c.ReadDone(now, first.Intent, "1", landed)
			again := c.Next(now)
			want := order.AskReceiver
			if !landed {
				want = order.WriteIntent
			}
			if again.Step != want || again.Intent.Name != first.Intent.Name || c.Queued() != 0 {
				t.Fatalf("%+v after %+v", again, first)
			}
			if landed {
				c.QueryDone(now, true, true)
				c.WriteDone(now, order.Done, "2")
				if e := c.Next(now); e.Step != order.Nothing {
					t.Fatalf("the order is planned once more: %+v", e)
				}
			}
		})
	}
}

func TestPredecessorsOpenIntent(t *testing.T) {
	open := order.Intent{Name: "runner-1-6-3", Number: 3, Order: load("b"), Holder: "host-0", Fence: 6, Open: true}
	convey.Convey("An intent that a predecessor left open", t, func() {
		c := started(false)
		c.ReadDone(begin, open, "9", true)
		convey.So(c.Add(load("c")), convey.ShouldBeNil)
		e := c.Next(begin)
		convey.So(e.Step, convey.ShouldEqual, order.WriteIntent)
		convey.So(e.Intent.Fence, convey.ShouldEqual, 7)
		c.WriteDone(begin, order.Done, "10")
		convey.Convey("waits for a receiver that ignores fencing numbers", func() {
			convey.So(c.Next(begin), convey.ShouldResemble, order.Effect{Wait: order.DefaultTiming().PredecessorWait})
		})
		after := begin.Add(order.DefaultTiming().PredecessorWait)
		convey.So(c.Next(after).Step, convey.ShouldEqual, order.AskReceiver)
		convey.Convey("is sent under its name if it is missing", func() {
			c.QueryDone(after, false, true)
			e = c.Next(after)
			convey.So(e.Step, convey.ShouldEqual, order.SendOrder)
			convey.So(e.Intent.Name, convey.ShouldEqual, open.Name)
		})
		convey.Convey("is closed unsent if it took effect, before anything new", func() {
			c.QueryDone(after, true, true)
			e = c.Next(after)
			convey.So(e.Step, convey.ShouldEqual, order.WriteIntent)
			convey.So(e.Intent.Open, convey.ShouldBeFalse)
		})
		convey.Convey("is asked about again if the receiver did not tell", func() {
			c.QueryDone(after, false, false)
			convey.So(c.Next(after).Step, convey.ShouldEqual, order.Nothing)
			convey.So(c.Next(after.Add(time.Minute)).Step, convey.ShouldEqual, order.AskReceiver)
		})
	})
}

func TestLosingCharge(t *testing.T) {
	for name, f := range map[string]func(c *order.Core){
		"the lease ends": func(c *order.Core) { c.End() },
		"the platform holds a higher fencing number": func(c *order.Core) { c.ReadDone(begin, order.Intent{Fence: 8}, "1", true) },
		"the receiver has seen a higher fencing number": func(c *order.Core) {
			c.ReadDone(begin, order.Intent{}, "", false)
			_ = c.Add(load("a"))
			c.Next(begin)
			c.WriteDone(begin, order.Done, "1")
			c.Next(begin)
			c.SendDone(begin, order.Stale, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := started(true)
			f(c)
			if c.State() != order.Stopped || c.Next(begin).Step != order.Nothing || c.Add(load("b")) == nil {
				t.Fatalf("the core goes on in state %s", c.State())
			}
		})
	}
}

func TestNameIsNotReusedInTheSameTerm(t *testing.T) {
	c := started(true)
	c.ReadDone(begin, order.Intent{}, "", false)
	_ = c.Add(load("a"))
	first := c.Next(begin)
	c.End() // the write of a is on its way
	c.Begin(begin, 7)
	c.ReadDone(begin, order.Intent{}, "", false)
	_ = c.Add(load("b"))
	second := c.Next(begin)
	if first.Intent.Name == second.Intent.Name {
		t.Fatalf("two orders are called %s", first.Intent.Name)
	}
	c.WriteDone(begin, order.Stale, "")
	c.ReadDone(begin, first.Intent, "1", true) // a has landed
	if e := c.Next(begin); e.Step != order.AskReceiver || e.Intent.Name != first.Intent.Name {
		t.Fatalf("%+v", e)
	}
	c.QueryDone(begin, true, true)
	c.WriteDone(begin, order.Done, "2")
	if e := c.Next(begin); e.Intent.Name != second.Intent.Name || e.Version != "2" {
		t.Fatalf("the second order is lost: %+v", e)
	}
}
