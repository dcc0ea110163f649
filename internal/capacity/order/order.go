// Package order decides when orders are sent to backend servers and to the
// platform's ordering interface, which starts and stops backend servers. Only the
// host that holds the orders lease sends orders. An order is recorded as an
// intent in the platform's store before it is sent. A new lease holder completes
// the intent that its predecessor, the previous lease holder, left open before it
// sends an order of its own. The package does no I/O.
package order

import (
	_ "embed"
	"fmt"
	"time"

	"shallotramp/internal/ops/statechart"
)

//go:generate go tool stringer -type State,Event,Action,Step,Result -output order_string.go

// Kind is the kind of the intent objects in the platform's store. There is one for each receiver.
const Kind = "OrderIntent"

// Action is the kind of an order.
type Action uint8

// The actions of orders.
const (
	LoadModel Action = iota
	LoadAdapter
	LoadVersion
	ChangeRole
	// StartServers asks the platform to start backend servers in an availability zone, and StopServer to stop one.
	StartServers
	StopServer
)

// LoadsWeights reports whether the action makes a server load weights from the weight store.
func (a Action) LoadsWeights() bool { return a <= LoadVersion }

// Order is a request to a receiver to carry out an action.
type Order struct {
	Action Action
	// Receiver is the name of a backend server, or that of the ordering interface for a zone, see [ZoneReceiver].
	Receiver string
	Model    string `json:",omitempty"`
	Adapter  string `json:",omitempty"`
	Version  string `json:",omitempty"`
	Role     string `json:",omitempty"`
	// Pool, Zone, Count and Reclaimable are set for StartServers, Zone and Server for StopServer.
	Pool        string `json:",omitempty"`
	Zone        string `json:",omitempty"`
	Count       int    `json:",omitempty"`
	Reclaimable bool   `json:",omitempty"`
	Server      string `json:",omitempty"`
}

// zoneReceiverPrefix distinguishes the ordering interface for a zone from backend servers.
const zoneReceiverPrefix = "zone-"

// ZoneReceiver returns the name of the receiver of orders that start or stop servers in an availability zone.
func ZoneReceiver(zone string) string { return zoneReceiverPrefix + zone }

// Intent is the content of an intent object: the last order recorded for the receiver.
type Intent struct {
	// Name is never used again. A receiver that has seen it does not carry the intent out again.
	Name string
	// Number increases with each intent for the receiver.
	Number uint64
	Order  Order
	// Holder and Fence are the name and the fencing number of the process that last recorded or adopted the intent.
	Holder string
	Fence  uint64
	// Open is set while the result is unknown: the order may not have been sent, be in flight or be carried out.
	Open bool
	// Refused is set if the receiver rejected the order. Detail is the receiver's text about the result.
	Refused bool   `json:",omitempty"`
	Detail  string `json:",omitempty"`
	// At is when the intent was recorded, adopted or closed.
	At time.Time
}

// State is the state of the orders to one receiver.
type State uint8

// The states of a [Core], see order_chart.json.
const (
	// Stopped means that the process does not hold the lease.
	Stopped State = iota
	// Reading means that the last intent is being read.
	Reading
	// Idle means that no intent is open.
	Idle
	// Recording means that an intent is being written before it is sent.
	Recording
	// Waiting means that the core waits until no order of a predecessor can still be in flight.
	Waiting
	// Resolving means that the receiver is asked whether it carried out the open intent.
	Resolving
	// Sending means that the order is being sent.
	Sending
	// Settling means that the result of the intent is being written.
	Settling
)

// Event moves a [Core] from one state to another.
type Event uint8

// The events of a [Core].
const (
	// Take means that the process acquired the lease.
	Take Event = iota
	// Clean means that the read found no open intent.
	Clean
	// Open means that the read found an open intent that this process has to adopt.
	Open
	// Resume means that the read found an open intent that this process recorded under its current lease.
	Resume
	// Want means that a queued order becomes an intent.
	Want
	// Written means that the intent was written.
	Written
	// Unsure means that the write, query or send failed or that its result is unknown.
	Unsure
	// Ready means that the intent can be sent and was not sent before.
	Ready
	// Doubt means that the intent may have been sent already, or that the platform has an intent unknown to the core.
	Doubt
	// Missing means that the receiver has not carried out the intent.
	Missing
	// Applied means that the receiver has carried out the intent.
	Applied
	// Refuse means that the receiver rejected the order.
	Refuse
	// Lose means that the lease was lost.
	Lose
)

//go:embed order_chart.json
var chartFile []byte

var orderChart = statechart.MustLoad[State, Event](chartFile)

// Chart returns the state chart of a [Core].
func Chart() *statechart.Chart[State, Event] { return orderChart }

// Step is the kind of call that a [Core] asks its caller to make.
type Step uint8

// The steps.
const (
	// Nothing means that no call is to be made for the duration Effect.Wait.
	Nothing Step = iota
	// ReadIntent reads the intent of the receiver.
	ReadIntent
	// WriteIntent writes the intent if the stored version is still that of the effect. An empty version creates it.
	WriteIntent
	// AskReceiver asks the receiver whether it has carried out the intent.
	AskReceiver
	// SendOrder sends the order within [Timing.SendTimeout], after a check that the lease is valid for that long.
	SendOrder
)

// Effect is one call that a [Core] asks its caller to make. The result is given to [Core.ReadDone] or
// [Core.ReadFailed], [Core.WriteDone], [Core.QueryDone] or [Core.SendDone] before the next call of [Core.Next].
type Effect struct {
	Step    Step
	Intent  Intent
	Version string
	// Wait is how long no call is to be made. It is set for Nothing.
	Wait time.Duration
}

// Result is the result of a write or a send.
type Result uint8

// The results.
const (
	// Done means that the call took effect.
	Done Result = iota
	// Rejected means that the call had no effect and is not to be retried.
	Rejected
	// Stale means that the call was rejected because of a newer version or a higher fencing number.
	Stale
	// Unknown means that the call may have taken effect.
	Unknown
)

// Timing holds the timeouts and delays of a [Core].
type Timing struct {
	// SendTimeout bounds one send. The connection is closed after it.
	SendTimeout time.Duration
	// PredecessorWait is how long a new lease holder sends nothing to receivers that do not check fencing numbers.
	// It covers the predecessor's term and the longest time that its last order may be in flight.
	PredecessorWait time.Duration
	// RetryDelay is the delay before a call with an unknown result is retried.
	RetryDelay time.Duration
}

// DefaultTiming returns the timing that fits the default configuration of the package lease.
func DefaultTiming() Timing {
	return Timing{SendTimeout: 3 * time.Second, PredecessorWait: 17 * time.Second, RetryDelay: time.Second}
}

// Core makes the decisions about the orders to one receiver. It is not safe for concurrent use.
type Core struct {
	receiver    string
	checksFence bool
	holder      string
	timing      Timing
	machine     *statechart.Machine[State, Event]

	fence     uint64
	startedAt time.Time
	intent    Intent
	version   string
	// unconfirmed is an intent whose first write is not known to have taken effect.
	unconfirmed *Intent
	// maxNumber is the highest number given to an intent, including those dropped when the lease was lost. The
	// process may get the lease back under the same fencing number, and must then not reuse an intent name.
	maxNumber uint64
	// inDoubt is set if the intent was adopted, resumed or sent with an unknown result. The receiver is then asked about
	// the intent before it is sent again.
	inDoubt    bool
	nextStepAt time.Time
	queue      []Order
}

// NewCore returns a stopped Core for a receiver. holder is the name of this process. checksFence tells whether the
// receiver rejects orders with an old fencing number.
func NewCore(holder, receiver string, checksFence bool, timing Timing) *Core {
	return &Core{holder: holder, receiver: receiver, checksFence: checksFence, timing: timing, machine: orderChart.New()}
}

// State returns the current state.
func (c *Core) State() State { return c.machine.State() }

// Intent returns the last known intent.
func (c *Core) Intent() Intent { return c.intent }

// Queued returns the number of orders in the queue, which are not recorded as intents yet.
func (c *Core) Queued() int { return len(c.queue) }

func (c *Core) fire(e Event) {
	if err := c.machine.Fire(e); err != nil {
		// The core fires only events that its chart allows, so an error is a bug.
		panic(err)
	}
}

// Begin starts the core under a lease with the given fencing number.
func (c *Core) Begin(now time.Time, fence uint64) {
	if c.State() != Stopped {
		if fence == c.fence {
			return
		}
		c.End()
	}
	c.fence, c.startedAt, c.nextStepAt = fence, now, time.Time{}
	c.fire(Take)
}

// End stops the core because the lease is lost. It drops the queued orders, since the next holder plans its own.
func (c *Core) End() {
	if c.State() != Stopped {
		c.fire(Lose)
	}
	c.queue, c.unconfirmed = nil, nil
}

// Delay postpones the next call by d, because the lease ends too soon or a rate limit is reached.
func (c *Core) Delay(now time.Time, d time.Duration) { c.nextStepAt = now.Add(d) }

// Add queues an order. It returns a [StoppedError] if the process does not hold the lease.
func (c *Core) Add(o Order) error {
	if c.State() == Stopped {
		return &StoppedError{Receiver: c.receiver}
	}
	c.queue = append(c.queue, o)
	return nil
}

// StoppedError means that an order was not queued because this process does not hold the lease.
type StoppedError struct{ Receiver string }

func (e *StoppedError) Error() string {
	return fmt.Sprintf("cannot queue an order to %s: this host does not hold the orders lease; send the order to its holder", e.Receiver)
}

// Next returns the next call to make.
func (c *Core) Next(now time.Time) Effect {
	if d := c.nextStepAt.Sub(now); d > 0 {
		return Effect{Wait: d}
	}
	switch c.State() {
	case Reading:
		return Effect{Step: ReadIntent}
	case Idle:
		return c.planNext(now)
	case Recording, Settling:
		return Effect{Step: WriteIntent, Intent: c.intent, Version: c.version}
	case Waiting:
		return c.waitForPredecessor(now)
	case Resolving:
		return Effect{Step: AskReceiver, Intent: c.intent}
	case Sending:
		return Effect{Step: SendOrder, Intent: c.intent}
	}
	return Effect{Wait: c.timing.RetryDelay}
}

// planNext makes an intent of the next queued order. If the write of an earlier intent had an unknown result, it uses
// that intent and its name again, so that the order cannot be carried out twice.
func (c *Core) planNext(now time.Time) Effect {
	if c.unconfirmed == nil {
		if len(c.queue) == 0 {
			return Effect{Wait: c.timing.RetryDelay}
		}
		n := max(c.intent.Number, c.maxNumber) + 1
		c.maxNumber = n
		c.unconfirmed = &Intent{
			Name: fmt.Sprintf("%s-%d-%d", c.receiver, c.fence, n), Number: n, Order: c.queue[0],
			Holder: c.holder, Fence: c.fence, Open: true, At: now,
		}
		c.queue = c.queue[1:]
	}
	c.intent = *c.unconfirmed
	c.inDoubt = false
	c.fire(Want)
	return c.Next(now)
}

// waitForPredecessor waits until no order of a predecessor can be in flight, unless the receiver would reject it.
func (c *Core) waitForPredecessor(now time.Time) Effect {
	if d := c.startedAt.Add(c.timing.PredecessorWait).Sub(now); !c.checksFence && d > 0 {
		return Effect{Wait: d}
	}
	if c.inDoubt {
		c.fire(Doubt)
	} else {
		c.fire(Ready)
	}
	return c.Next(now)
}

// ReadDone reports the intent that was read. found is false if the platform has none.
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
		c.confirmWritten(in.Name)
	}
	switch {
	case !found || !in.Open:
		c.fire(Clean)
	case in.Fence == c.fence && in.Holder == c.holder:
		// The write of this process took effect although its response was lost.
		c.inDoubt = true
		c.fire(Resume)
	default:
		c.intent.Holder, c.intent.Fence, c.intent.At = c.holder, c.fence, now
		c.inDoubt = true
		c.fire(Open)
	}
}

// confirmWritten records that the platform has stored the named intent.
func (c *Core) confirmWritten(name string) {
	if c.unconfirmed != nil && c.unconfirmed.Name == name {
		c.unconfirmed = nil
	}
}

// OpenIntentListed reports that the platform has an open intent with the given version. An idle core reads it if the
// version is not the one it knows, because a write of a predecessor may take effect late.
func (c *Core) OpenIntentListed(version string) {
	if c.State() == Idle && version != c.version {
		c.fire(Doubt)
	}
}

// ReadFailed reports that the read of the intent failed.
func (c *Core) ReadFailed(now time.Time) { c.nextStepAt = now.Add(c.timing.RetryDelay) }

// WriteDone reports the result of a write.
func (c *Core) WriteDone(now time.Time, r Result, version string) {
	switch {
	case c.State() != Recording && c.State() != Settling:
	case r == Done:
		c.version = version
		c.confirmWritten(c.intent.Name)
		c.fire(Written)
	default:
		c.fire(Unsure)
		c.nextStepAt = now
		if r != Stale {
			c.nextStepAt = now.Add(c.timing.RetryDelay)
		}
	}
}

// QueryDone reports whether the receiver has carried out the intent. known is false if the query failed.
func (c *Core) QueryDone(now time.Time, applied, known bool) {
	switch {
	case c.State() != Resolving:
	case !known:
		c.nextStepAt = now.Add(c.timing.RetryDelay)
		c.fire(Unsure)
	case applied:
		c.closeIntent(now, false, "")
		c.fire(Applied)
	default:
		c.fire(Missing)
	}
}

// SendDone reports the result of a send.
func (c *Core) SendDone(now time.Time, r Result, detail string) {
	if c.State() != Sending {
		return
	}
	switch r {
	case Done:
		c.closeIntent(now, false, detail)
		c.fire(Applied)
	case Rejected:
		c.closeIntent(now, true, detail)
		c.fire(Refuse)
	case Stale:
		c.End()
	case Unknown:
		c.inDoubt = true
		c.nextStepAt = now.Add(c.timing.RetryDelay)
		c.fire(Unsure)
	}
}

// closeIntent sets the result of the intent, which the next write records.
func (c *Core) closeIntent(now time.Time, refused bool, detail string) {
	c.intent.Open, c.intent.Refused, c.intent.Detail, c.intent.At = false, refused, detail, now
}
