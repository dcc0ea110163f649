// Package window implements the state machine of a usage window. A window is a period whose usage is summed by
// organisation. When it is frozen, its sums, called figures, become final: each report of the window has the same
// figures, even if several hosts send it. The package does no I/O. Callers store a window with conditional updates of
// a platform object, so that concurrent changes are applied one after the other.
package window

import (
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"shallotramp/internal/ops/statechart"
	"shallotramp/internal/usage/meter"
)

//go:generate go tool stringer -type State,Event -output window_string.go

// Kind is the kind of the platform objects that hold windows. The name of an object is its window's ID.
const Kind = "UsageWindow"

// idLayout is the time layout of an [ID]. IDs sort by time.
const idLayout = "20060102t150405z"

// State is the state of a window.
type State uint8

// The states of a window.
const (
	// Open is the state until the end of the window.
	Open State = iota
	// Closing windows have ended, but hosts may not have flushed all usage yet.
	Closing
	// Frozen windows have final figures.
	Frozen
	// Reported is the state after the platform has accepted the report.
	Reported
)

// Event is an event that changes the state of a window.
type Event uint8

// The events of a window.
const (
	End Event = iota
	Freeze
	// Claim records the sender of the report, before the report is sent.
	Claim
	// Accept records that the platform has accepted the report.
	Accept
)

//go:embed window_chart.json
var chartFile []byte

var windowChart = statechart.MustLoad[State, Event](chartFile)

// ID identifies a window by its start time.
type ID string

// IDAt returns the ID of the window that contains t, for windows of the given length.
func IDAt(t time.Time, length time.Duration) ID {
	return ID(t.UTC().Truncate(length).Format(idLayout))
}

// Start returns the start of the window, or the zero time if the ID is invalid.
func (id ID) Start() time.Time {
	t, _ := time.Parse(idLayout, string(id))
	return t
}

// Next returns the ID of the following window.
func (id ID) Next(length time.Duration) ID { return IDAt(id.Start().Add(length), length) }

// Usage is the usage of each organisation by name.
type Usage map[string]meter.Usage

// Add adds v to the usage of the organisation.
func (u Usage) Add(organisation string, v meter.Usage) { u[organisation] = u[organisation].Add(v) }

// Merge adds the usage of all organisations in v.
func (u Usage) Merge(v Usage) {
	for o, x := range v {
		u.Add(o, x)
	}
}

// LateUsage is usage of the earlier window Origin that was recorded after that window was frozen.
type LateUsage struct {
	Origin ID
	Use    Usage
}

// PageRef identifies a page of a host's usage ledger.
type PageRef struct {
	Ledger string
	Page   uint64
}

// Sender is the reporter that sends the report of a window.
type Sender struct {
	Name string
	// Fence is the sender's fencing number.
	Fence uint64
	// Since is when the sender was recorded.
	Since time.Time
	// TookOver is set if another sender was recorded before, whose report may still be in flight.
	TookOver bool `json:",omitempty"`
}

// Window is the content of a platform object of the kind [Kind].
type Window struct {
	ID     ID
	Length time.Duration
	State  State
	// Figures, Late, Members and Digest are set when the window is frozen. Figures is the usage that was counted in the
	// window, and Late that of earlier windows. Members lists the ledger pages that both include.
	Figures Usage       `json:",omitempty"`
	Late    []LateUsage `json:",omitempty"`
	Members []PageRef   `json:",omitempty"`
	Digest  string      `json:",omitempty"`
	// Unread lists the backend servers whose counts could not be read for a host that stopped flushing. An entry has
	// the form "host server".
	Unread []string `json:",omitempty"`
	Sender Sender   `json:",omitzero"`
	// Reported is when the platform accepted the report.
	Reported time.Time `json:",omitzero"`
}

// New returns an open window.
func New(id ID, length time.Duration) Window { return Window{ID: id, Length: length} }

// EndTime returns when the window ends.
func (w *Window) EndTime() time.Time { return w.ID.Start().Add(w.Length) }

// fire changes the state of the window by e, or returns an error if the state does not allow e.
func (w *Window) fire(e Event) error {
	m := windowChart.NewAt(w.State)
	if err := m.Fire(e); err != nil {
		return err
	}
	w.State = m.State()
	return nil
}

// TooEarlyError is returned for an operation that is not allowed yet.
type TooEarlyError struct {
	ID        ID
	Operation string
	Wait      time.Duration
}

func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("usage window %s: too early to %s; wait %s", e.ID, e.Operation, e.Wait)
}

// Close moves the window to the [Closing] state. It fails before the end of the window.
func (w *Window) Close(now time.Time) error {
	if d := w.EndTime().Sub(now); d > 0 {
		return &TooEarlyError{w.ID, "close", d}
	}
	return w.fire(End)
}

// Page is a ledger page whose usage was counted in the window Origin.
type Page struct {
	PageRef
	Origin ID
	Use    Usage
}

// Freeze sums the usage of pages and makes the sums final. It fails until the duration grace has passed since the end
// of the window. The sums do not depend on the order of the pages.
func (w *Window) Freeze(now time.Time, grace time.Duration, pages []Page, unread []string) error {
	if d := w.EndTime().Add(grace).Sub(now); d > 0 {
		return &TooEarlyError{w.ID, "freeze", d}
	}
	if err := w.fire(Freeze); err != nil {
		return err
	}
	w.Figures = Usage{}
	late := map[ID]Usage{}
	for _, p := range pages {
		w.Members = append(w.Members, p.PageRef)
		if p.Origin == w.ID {
			w.Figures.Merge(p.Use)
			continue
		}
		if late[p.Origin] == nil {
			late[p.Origin] = Usage{}
		}
		late[p.Origin].Merge(p.Use)
	}
	for id, u := range late {
		w.Late = append(w.Late, LateUsage{id, u})
	}
	sort.Slice(w.Late, func(i, j int) bool { return w.Late[i].Origin < w.Late[j].Origin })
	sort.Slice(w.Members, func(i, j int) bool {
		a, b := w.Members[i], w.Members[j]
		return a.Ledger < b.Ledger || a.Ledger == b.Ledger && a.Page < b.Page
	})
	w.Unread = append([]string(nil), unread...)
	sort.Strings(w.Unread)
	w.Digest = w.digest()
	return nil
}

// digest returns the SHA-256 hash of the figures encoded as JSON. The encoding is canonical, because encoding/json
// sorts the keys of maps.
func (w *Window) digest() string {
	b, err := json.Marshal(struct {
		ID      ID
		Figures Usage       `json:",omitempty"`
		Late    []LateUsage `json:",omitempty"`
	}{w.ID, w.Figures, w.Late})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Has reports whether the window's figures include the page.
func (w *Window) Has(m PageRef) bool {
	for _, x := range w.Members {
		if x == m {
			return true
		}
	}
	return false
}

// StaleFenceError is returned to a reporter whose fencing number is lower than that of the recorded sender, or equal to
// that of another sender.
type StaleFenceError struct {
	ID                   ID
	Fence, RecordedFence uint64
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("usage window %s: the recorded sender has fencing number %d, so a reporter with %d cannot send the report; stop reporting until the lease is granted again", e.ID, e.RecordedFence, e.Fence)
}

// SetSender records the sender of the report. It fails if the recorded sender has a higher fencing number, or if
// another sender has the same.
func (w *Window) SetSender(now time.Time, name string, fence uint64) error {
	if fence < w.Sender.Fence || fence == w.Sender.Fence && w.Sender.Name != "" && w.Sender.Name != name {
		return &StaleFenceError{w.ID, fence, w.Sender.Fence}
	}
	if err := w.fire(Claim); err != nil {
		return err
	}
	if w.Sender.Name == name && w.Sender.Fence == fence {
		return nil
	}
	w.Sender = Sender{Name: name, Fence: fence, Since: now, TookOver: w.Sender.Name != ""}
	return nil
}

// MarkReported records that the platform has accepted the report.
func (w *Window) MarkReported(now time.Time) error {
	if err := w.fire(Accept); err != nil {
		return err
	}
	w.Reported = now
	return nil
}

// Total returns the sum of the window's figures and its late usage.
func (w *Window) Total() Usage {
	out := Usage{}
	out.Merge(w.Figures)
	for _, l := range w.Late {
		out.Merge(l.Use)
	}
	return out
}

// Summary describes a window for operators.
type Summary struct {
	ID         ID
	State      State
	Start, End time.Time
	Figures    Usage
	Late       []LateUsage
	// Digest is empty until the window is frozen.
	Digest string
	Sender string
	// Unread lists counts that could not be read, see [Window].
	Unread []string
	// Difference is the usage in the report that the platform holds minus [Window.Total]. It must be empty.
	Difference Usage
	// Intact is set if the figures match their digest or are not final yet.
	Intact bool
}

// Summary returns the description of the window for operators.
func (w *Window) Summary() Summary {
	return Summary{
		ID: w.ID, State: w.State, Start: w.ID.Start(), End: w.EndTime(), Figures: w.Figures, Late: w.Late,
		Digest: w.Digest, Sender: w.Sender.Name, Unread: w.Unread,
		Intact: w.State < Frozen || w.Digest == w.digest(),
	}
}

// Difference returns a minus b. Organisations without a difference are left out.
func Difference(a, b Usage) Usage {
	out := Usage{}
	out.Merge(a)
	for o, v := range b {
		out.Add(o, meter.Usage{Requests: -v.Requests, PromptTokens: -v.PromptTokens, OutputTokens: -v.OutputTokens})
	}
	for o, v := range out {
		if v == (meter.Usage{}) {
			delete(out, o)
		}
	}
	return out
}
