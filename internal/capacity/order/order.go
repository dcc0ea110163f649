// Package order decides how orders reach backend servers and the platform's
// ordering interface from one process at a time. An order is recorded on the
// platform before it is sent; a successor finishes what its predecessor left
// open before it sends anything of its own. The decisions do no I/O.
package order

import (
	_ "embed"
	"fmt"
	"time"

	"shallotramp/internal/ops/chart"
)

//go:generate go tool stringer -type State,Event,Action,Step,Result -output order_string.go

// Kind is the kind of the platform's intent objects, one for each receiver.
const Kind = "OrderIntent"

// Action is what an order asks for.
type Action uint8

// The actions of orders.
const (
	LoadModel Action = iota
	LoadAdapter
	LoadVersion
	ChangeRole
	// StartServers asks the platform for backend servers in an availability zone, StopServer ends one.
	StartServers
	StopServer
)

// LoadsWeights reports whether the action draws on the weight store.
func (a Action) LoadsWeights() bool { return a <= LoadVersion }

// Order is one order.
type Order struct {
	Action Action
	// Receiver is a backend server's name, or the name of the ordering interface for a zone, see [Zone].
	Receiver string
	Model    string `json:",omitempty"`
	Adapter  string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Role     string `json:",omitempty"`
	// Pool, Zone, Count and Reclaimable are set for StartServers, Server for StopServer.
	Pool        string `json:",omitempty"`
	Zone        string `json:",omitempty"`
	Count       int    `json:",omitempty"`
	Reclaimable bool   `json:",omitempty"`
	Server      string `json:",omitempty"`
}

// zonePrefix tells receivers of the ordering interface from backend servers.
const zonePrefix = "zone-"

// ZoneReceiver returns the receiver of orders for servers of a pool in an availability zone.
func ZoneReceiver(zone string) string { return zonePrefix + zone }

// Intent is the content of an intent object: the last order recorded for the receiver.
type Intent struct {
	// Name is unique for all time. Receivers that know it carry it out once.
	Name   string
	Number uint64
	Order  Order
	// Holder and Fence are of the process that recorded or adopted it last.
	Holder string
	Fence  uint64
	// Open intents may have been sent, or be on their way, with unknown effect.
	Open bool
	// Refused tells that the receiver refused the order, with its detail.
	Refused bool   `json:",omitempty"`
	Detail  string `json:",omitempty"`
	// At is when the content was written.
	At time.Time
}

// State is where the work for one receiver stands.
type State uint8

// The states, see order_chart.json.
const (
	// Stopped processes are not in charge.
	Stopped State = iota
	// Reading processes look up the last intent.
	Reading
	Idle
	// Recording processes write an intent before it is sent.
	Recording
	// Waiting processes let time pass, until a predecessor can have nothing on its way.
	Waiting
	// Resolving processes ask the receiver whether an open intent took effect.
	Resolving
	Sending
	// Settling processes record how the intent ended.
	Settling
)

// Event moves the work for one receiver from one state to another.
type Event uint8

// The events.
const (
	Take Event = iota
	Clean
	Open
	Resume
	Want
	Written
	Unsure
	Ready
	Doubt
	Missing
	Applied
	Refuse
	Lose
)

//go:embed order_chart.json
var chartFile []byte

var orderChart = chart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of an order.
func Chart() *chart.Chart[State, Event] { return orderChart }

// Step is what a [Core] wants done next.
type Step uint8

// The steps.
const (
	// Nothing is to be done before the time of the effect.
	Nothing Step = iota
	ReadIntent
	// WriteIntent replaces the intent if its version is still that of the effect; an empty version creates it.
	WriteIntent
	// AskReceiver asks whether the intent took effect.
	AskReceiver
	// SendOrder sends within the times of the effect, after a check of the lease.
	SendOrder
)

// Effect is one step with what it needs. Its result goes to [Core.Seen], [Core.Wrote],
// [Core.Asked] or [Core.Sent] before the next effect is asked for.
type Effect struct {
	Step    Step
	Intent  Intent
	Version string
	// Wait is for how long nothing is to be done, for Nothing.
	Wait time.Duration
}

// Result is what became of a write or a send.
type Result uint8

// The results.
const (
	// Done steps took effect.
	Done Result = iota
	// Rejected steps had no effect and are not repeated.
	Rejected
	// Stale steps were refused for a newer version or a higher fencing number.
	Stale
	// Unknown steps may have taken effect.
	Unknown
)

// Timing bound sends and waits.
type Timing struct {
	// SendTimeout is the longest time of one send, after which its connection is given up.
	SendTimeout time.Duration
	// PredecessorWait is how long after its start a holder sends nothing to receivers that ignore fencing
	// numbers: the predecessor's term and the longest time that its last send may be on its way.
	PredecessorWait time.Duration
	// RetryDelay is the time before a step with an unknown result is repeated.
	RetryDelay time.Duration
}

// DefaultTiming suit the default times of leases.
func DefaultTiming() Timing {
	return Timing{SendTimeout: 3 * time.Second, PredecessorWait: 17 * time.Second, RetryDelay: time.Second}
}

// Core decides for one receiver. It is used by one goroutine.
type Core struct {
	receiver string
	checks   bool
	holder   string
	times    Timing
	machine  *chart.Machine[State, Event]

	fence   uint64
	began   time.Time
	intent  Intent
	version string
	// unwritten is a planned intent that the platform may not hold yet.
	unwritten *Intent
	// top is the highest number given to an intent, also to one that was forgotten with its term: a lease may
	// come back under the same fencing number.
	top uint64
	// doubted intents were adopted or sent with an unknown result: the receiver is asked before they are sent again.
	doubted bool
	retry   time.Time
	queue   []Order
}

// NewCore returns a stopped Core of a process for a receiver, which checks fencing numbers or ignores them.
func NewCore(holder, receiver string, checks bool, times Timing) *Core {
	return &Core{holder: holder, receiver: receiver, checks: checks, times: times, machine: orderChart.New()}
}

// State returns where the work stands.
func (c *Core) State() State { return c.machine.State() }

// Intent returns the last intent that is known.
func (c *Core) Intent() Intent { return c.intent }

// Queued returns how many orders are not yet recorded.
func (c *Core) Queued() int { return len(c.queue) }

func (c *Core) fire(e Event) {
	if err := c.machine.Fire(e); err != nil {
		// The core fires only what its chart allows; anything else is a fault of the code.
		panic(err)
	}
}

// Begin starts work under a lease with the fencing number.
func (c *Core) Begin(now time.Time, fence uint64) {
	if c.State() != Stopped {
		if fence == c.fence {
			return
		}
		c.End()
	}
	c.fence, c.began, c.retry = fence, now, time.Time{}
	c.fire(Take)
}

// End stops work: the lease is lost. Orders not yet recorded are forgotten; the next holder plans anew.
func (c *Core) End() {
	if c.State() != Stopped {
		c.fire(Lose)
	}
	c.queue, c.unwritten = nil, nil
}

// Delay puts the next step off, for a lease that ends too soon or a rate limit.
func (c *Core) Delay(now time.Time, d time.Duration) { c.retry = now.Add(d) }

// Add queues an order. It returns a [StoppedError] if the process is not in charge.
func (c *Core) Add(o Order) error {
	if c.State() == Stopped {
		return &StoppedError{Receiver: c.receiver}
	}
	c.queue = append(c.queue, o)
	return nil
}

// StoppedError is an order to a receiver that this process is not in charge of.
type StoppedError struct{ Receiver string }

func (e *StoppedError) Error() string {
	return fmt.Sprintf("this host is not in charge of orders to %s; order on the holder of the lease", e.Receiver)
}

// Next returns the next step.
func (c *Core) Next(now time.Time) Effect {
	if d := c.retry.Sub(now); d > 0 {
		return Effect{Wait: d}
	}
	switch c.State() {
	case Reading:
		return Effect{Step: ReadIntent}
	case Idle:
		return c.plan(now)
	case Recording, Settling:
		return Effect{Step: WriteIntent, Intent: c.intent, Version: c.version}
	case Waiting:
		return c.wait(now)
	case Resolving:
		return Effect{Step: AskReceiver, Intent: c.intent}
	case Sending:
		return Effect{Step: SendOrder, Intent: c.intent}
	}
	return Effect{Wait: c.times.RetryDelay}
}

// plan turns the next queued order into an intent. One whose write had no known result keeps its
// name, so that it cannot be carried out twice.
func (c *Core) plan(now time.Time) Effect {
	if c.unwritten == nil {
		if len(c.queue) == 0 {
			return Effect{Wait: c.times.RetryDelay}
		}
		n := max(c.intent.Number, c.top) + 1
		c.top = n
		c.unwritten = &Intent{
			Name: fmt.Sprintf("%s-%d-%d", c.receiver, c.fence, n), Number: n, Order: c.queue[0],
			Holder: c.holder, Fence: c.fence, Open: true, At: now,
		}
		c.queue = c.queue[1:]
	}
	c.intent = *c.unwritten
	c.doubted = false
	c.fire(Want)
	return c.Next(now)
}

// wait lets a predecessor's sends run out, for receivers that would not refuse them.
func (c *Core) wait(now time.Time) Effect {
	if d := c.began.Add(c.times.PredecessorWait).Sub(now); !c.checks && d > 0 {
		return Effect{Wait: d}
	}
	if c.doubted {
		c.fire(Doubt)
	} else {
		c.fire(Ready)
	}
	return c.Next(now)
}

// ReadDone takes the intent that the platform holds, or none.
func (c *Core) ReadDone(now time.Time, in Intent, version string, found bool) {
	if c.State() != Reading {
		return
	}
	if in.Fence > c.fence {
		c.End()
		return
	}
	c.intent, c.version = in, version
	if found {
		c.planned(in.Name)
	}
	switch {
	case !found || !in.Open:
		c.fire(Clean)
	case in.Fence == c.fence && in.Holder == c.holder:
		// The write of this process whose answer was lost took effect.
		c.doubted = true
		c.fire(Resume)
	default:
		c.intent.Holder, c.intent.Fence, c.intent.At = c.holder, c.fence, now
		c.doubted = true
		c.fire(Open)
	}
}

// planned notes that the platform holds the intent of the name.
func (c *Core) planned(name string) {
	if c.unwritten != nil && c.unwritten.Name == name {
		c.unwritten = nil
	}
}

// OpenIntentListed notes that the platform holds an open intent at a version. An idle core reads it if that is not
// its own: a predecessor's write may land late.
func (c *Core) OpenIntentListed(version string) {
	if c.State() == Idle && version != c.version {
		c.fire(Doubt)
	}
}

// ReadFailed notes that the intent could not be read.
func (c *Core) ReadFailed(now time.Time) { c.retry = now.Add(c.times.RetryDelay) }

// WriteDone takes the result of a write.
func (c *Core) WriteDone(now time.Time, r Result, version string) {
	switch {
	case c.State() != Recording && c.State() != Settling:
	case r == Done:
		c.version = version
		c.planned(c.intent.Name)
		c.fire(Written)
	default:
		c.fire(Unsure)
		c.retry = now
		if r != Stale {
			c.retry = now.Add(c.times.RetryDelay)
		}
	}
}

// QueryDone takes whether the receiver carried the intent out; unknown if it did not tell.
func (c *Core) QueryDone(now time.Time, applied, known bool) {
	switch {
	case c.State() != Resolving:
	case !known:
		c.retry = now.Add(c.times.RetryDelay)
		c.fire(Unsure)
	case applied:
		c.close(now, false, "")
		c.fire(Applied)
	default:
		c.fire(Missing)
	}
}

// SendDone takes the result of a send.
func (c *Core) SendDone(now time.Time, r Result, detail string) {
	if c.State() != Sending {
		return
	}
	switch r {
	case Done:
		c.close(now, false, detail)
		c.fire(Applied)
	case Rejected:
		c.close(now, true, detail)
		c.fire(Refuse)
	case Stale:
		c.End()
	case Unknown:
		c.doubted = true
		c.retry = now.Add(c.times.RetryDelay)
		c.fire(Unsure)
	}
}

func (c *Core) close(now time.Time, refused bool, detail string) {
	c.intent.Open, c.intent.Refused, c.intent.Detail, c.intent.At = false, refused, detail, now
}
