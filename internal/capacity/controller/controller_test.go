package controller_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/capacity/controller"
	"shallotramp/internal/capacity/order"
	"shallotramp/internal/fleet/lease"
	"shallotramp/internal/provider/fake"
)

var seeds = flag.Uint64("seeds", 8, "how many seeds each fault test runs")

// checksFenceByReceiver maps the name of each fake receiver to whether it checks fencing numbers.
var checksFenceByReceiver = map[string]bool{"zone-mid-a": false, "runner-1": true, "runner-2": false}

// faultySender sends orders and injects pauses of the process, delays of the network and lost messages.
type faultySender struct {
	mu        sync.Mutex
	src       *rand.Rand
	receivers map[string]*fake.OrderReceiver
	// faultChance is the probability of a fault in a call.
	faultChance float64
	// ignoreTimeout makes Send send after a pause even if the timeout of the send has passed.
	ignoreTimeout bool
}

func (s *faultySender) randomFault(n int) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.src.Float64() >= s.faultChance {
		return 0, 0
	}
	return 1 + s.src.IntN(n), time.Duration(s.src.Int64N(int64(40 * time.Second)))
}

func (s *faultySender) Send(ctx context.Context, in order.Intent) (order.Result, string) {
	fault, d := s.randomFault(4)
	receiver := s.receivers[in.Order.Receiver]
	switch fault {
	case 1: // the process is paused before its write; a real transport would check the context again
		time.Sleep(d)
		if ctx.Err() != nil && !s.ignoreTimeout {
			return order.Unknown, "not sent"
		}
	case 2: // the order is in flight for up to the longest time that one may be, and the response is lost
		go func() {
			time.Sleep(d % order.DefaultTiming().SendTimeout)
			_, _ = receiver.Send(context.Background(), in)
		}()
		return order.Unknown, "lost"
	case 3:
		_, _ = receiver.Send(ctx, in)
		return order.Unknown, "lost"
	case 4:
		return order.Unknown, "never arrived"
	}
	return receiver.Send(context.WithoutCancel(ctx), in)
}

func (s *faultySender) Applied(ctx context.Context, in order.Intent) (bool, error) {
	fault, d := s.randomFault(4)
	if fault == 1 {
		time.Sleep(d)
	}
	return s.receivers[in.Order.Receiver].Applied(ctx, in)
}

func (s *faultySender) setFaultChance(chance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultChance = chance
}

// cluster runs hosts that compete for the orders lease and send orders while they hold it.
type cluster struct {
	store  *fake.Store
	sender *faultySender
	wg     sync.WaitGroup

	mu         sync.Mutex
	src        *rand.Rand
	clients    []*fake.FaultyClient
	faultsOver bool
	hosts      int
	// queued counts the orders that a controller accepted.
	queued int
}

func newCluster(seed uint64) *cluster {
	c := &cluster{store: fake.NewStore(), src: rand.New(rand.NewPCG(seed, 1))}
	c.sender = &faultySender{src: rand.New(rand.NewPCG(seed, 2)), receivers: map[string]*fake.OrderReceiver{}, faultChance: 0.3}
	for name, checks := range checksFenceByReceiver {
		c.sender.receivers[name] = fake.NewOrderReceiver(checks)
	}
	return c
}

func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.src.Int64N(int64(limit)))
}

func (c *cluster) newHost(kill func()) (*fake.FaultyClient, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts++
	client := fake.NewFaultyClient(c.store, rand.New(rand.NewPCG(uint64(c.hosts), c.src.Uint64())), kill)
	if !c.faultsOver {
		client.SetFaultRate(0.05)
	}
	c.clients = append(c.clients, client)
	return client, fmt.Sprintf("host-%d", c.hosts)
}

// runHosts runs one host at a time until ctx ends. Each is killed and then replaced by a new one.
func (c *cluster) runHosts(ctx context.Context) {
	defer c.wg.Done()
	for ctx.Err() == nil {
		hostCtx, kill := context.WithCancel(ctx)
		client, name := c.newHost(kill)
		m := lease.NewManager(client, name)
		ctl := controller.New(name, client, m.Campaign("orders"), c.sender, func(r string) bool { return checksFenceByReceiver[r] })
		done := make(chan error, 2)
		go m.Run(hostCtx, done)
		go ctl.Run(hostCtx, done)
		c.placeOrders(hostCtx, name, ctl)
		kill()
		<-done
		<-done
	}
}

// placeOrders places orders at random intervals until the host is killed.
func (c *cluster) placeOrders(hostCtx context.Context, host string, ctl *controller.Controller) {
	for n := 0; hostCtx.Err() == nil; n++ {
		c.mu.Lock()
		faultsOver := c.faultsOver
		c.mu.Unlock()
		for r := range checksFenceByReceiver {
			o := order.Order{Action: order.LoadModel, Receiver: r, Model: fmt.Sprintf("%s-%s-%d", host, r, n)}
			if !faultsOver && ctl.Order(hostCtx, o) == nil {
				c.mu.Lock()
				c.queued++
				c.mu.Unlock()
			}
		}
		time.Sleep(c.randomDuration(20 * time.Second))
	}
}

// disconnectHosts disconnects random hosts from the platform, one after the other, until the faults are over.
func (c *cluster) disconnectHosts(ctx context.Context) {
	defer c.wg.Done()
	for {
		time.Sleep(c.randomDuration(time.Minute))
		c.mu.Lock()
		if c.faultsOver || ctx.Err() != nil {
			c.mu.Unlock()
			return
		}
		client := c.clients[c.src.IntN(len(c.clients))]
		c.mu.Unlock()
		client.SetDisconnected(true)
		time.Sleep(c.randomDuration(40 * time.Second))
		client.SetDisconnected(false)
	}
}

func (c *cluster) endFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOver = true
	c.sender.setFaultChance(0)
	for _, client := range c.clients {
		client.SetDisconnected(false)
		client.SetFaultRate(0)
	}
}

// outcome sums up what the receivers of a run received.
type outcome struct {
	// outOfOrder counts the orders from a holder that arrived after one from a later holder. duplicates counts the
	// orders that were carried out again, under the same intent name or another.
	outOfOrder, duplicates int
	executed, holders      int
	open                   int
	queued                 int
}

func runCluster(t *testing.T, seed uint64, ignoreTimeout bool) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(seed)
		c.sender.ignoreTimeout = ignoreTimeout
		ctx, stop := context.WithCancel(t.Context())
		c.wg.Add(4)
		for range 3 {
			go c.runHosts(ctx)
		}
		go c.disconnectHosts(ctx)
		time.Sleep(30 * time.Minute)
		c.endFaults()
		time.Sleep(5 * time.Minute)
		stop()
		c.wg.Wait()
		time.Sleep(2 * time.Minute)
		for name, checks := range checksFenceByReceiver {
			out.add(c.sender.receivers[name].All(), checks)
		}
		out.queued = c.queued
		list, _, err := c.store.List(t.Context(), order.Kind)
		if err != nil {
			t.Fatal(err)
		}
		out.open = openIntents(t, list)
	})
	return out
}

// add counts the orders that one receiver received. An order that arrives after one with a higher fencing number shows
// that two hosts sent orders as the lease holder. A receiver that checks fencing numbers may get such an order but
// must reject it.
func (o *outcome) add(arrived []fake.ReceivedOrder, checks bool) {
	maxFence := uint64(0)
	executions := map[string]int{}
	holders := map[string]bool{}
	for _, a := range arrived {
		if a.Intent.Fence < maxFence && (!checks || a.Acted) {
			o.outOfOrder++
		}
		maxFence = max(maxFence, a.Intent.Fence)
		holders[a.Intent.Holder] = true
		if a.Acted {
			executions[a.Intent.Order.Model]++
			o.executed++
		}
	}
	for _, n := range executions {
		o.duplicates += n - 1
	}
	o.holders += len(holders)
}

// TestNoOrdersFromTwoHolders guards against two hosts that send orders at the same time, which may happen when a
// holder is killed, paused or cut off from the platform and a successor acquires the lease.
func TestNoOrdersFromTwoHolders(t *testing.T) {
	var total outcome
	for seed := range *seeds {
		convey.Convey(fmt.Sprintf("Hosts that are killed, paused and cut off from the platform, seed %d", seed), t, func() {
			o := runCluster(t, seed, false)
			convey.So(o.outOfOrder, convey.ShouldEqual, 0)
			convey.So(o.duplicates, convey.ShouldEqual, 0)
			convey.So(o.open, convey.ShouldEqual, 0)
			total.executed += o.executed
			total.holders += o.holders
			total.queued += o.queued
		})
	}
	t.Logf("%d runs: %d orders queued, %d carried out, from %d holders to 3 receivers each", *seeds, total.queued, total.executed, total.holders)
	if total.executed == 0 || total.holders < 4*int(*seeds) {
		t.Fatal("the runs had too few orders or holders to prove anything")
	}
}

// TestCarelessSendsCross checks that the runs detect out-of-order orders: they must occur if sends ignore their
// timeout.
func TestCarelessSendsCross(t *testing.T) {
	outOfOrder := 0
	for seed := range *seeds {
		outOfOrder += runCluster(t, seed, true).outOfOrder
	}
	t.Logf("%d runs with sends after their timeout: %d orders out of order", *seeds, outOfOrder)
	if outOfOrder == 0 {
		t.Fatal("no order was out of order although sends ignored their timeout: the runs prove nothing")
	}
}
