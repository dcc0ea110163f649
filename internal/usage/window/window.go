// Package window decides the life of a usage window: a span of time whose use is
// summed by organisation, frozen once and reported with the same figures however
// often and by whomever. The decisions do no I/O; the platform's conditional
// updates put them in order.
package window

import (
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"shallotramp/internal/ops/chart"
	"shallotramp/internal/usage/meter"
)

//go:generate go tool stringer -type State,Event -output window_string.go

// Kind is the kind of the platform's window objects; their names are window IDs.
const Kind = "UsageWindow"

// idLayout makes names that sort by time.
const idLayout = "20060102t150405z"

// State is where a window stands.
type State uint8

// The states of a window.
const (
	// Open windows take use.
	Open State = iota
	// Closing windows have ended; hosts still flush what they counted in them.
	Closing
	// Frozen windows have figures that never change.
	Frozen
	// Reported windows were accepted by the platform.
	Reported
)

// Event changes the state of a window.
type Event uint8

// The events of a window.
const (
	End Event = iota
	Freeze
	// Claim records who sends the report, before it is sent.
	Claim
	// Accept notes that the platform took the report.
	Accept
)

//go:embed window_chart.json
var chartFile []byte

var life = chart.MustLoad[State, Event](chartFile)

// ID names a window by its start.
type ID string

// Of returns the window of the length that t falls in.
func Of(t time.Time, length time.Duration) ID {
	return ID(t.UTC().Truncate(length).Format(idLayout))
}

// Start returns the start of the window; zero for an ID that is none.
func (id ID) Start() time.Time {
	t, _ := time.Parse(idLayout, string(id))
	return t
}

// Next returns the window that follows.
func (id ID) Next(length time.Duration) ID { return Of(id.Start().Add(length), length) }

// Use is use by organisation.
type Use map[string]meter.Use

// Add adds v to the organisation's use.
func (u Use) Add(organisation string, v meter.Use) { u[organisation] = u[organisation].Add(v) }

// Merge adds all of v.
func (u Use) Merge(v Use) {
	for o, x := range v {
		u.Add(o, x)
	}
}

// Late is use counted in an earlier window after that was frozen.
type Late struct {
	Origin ID
	Use    Use
}

// Member is one page of a host's ledger that a window's figures include.
type Member struct {
	Ledger string
	Page   uint64
}

// Sender is who reports a window.
type Sender struct {
	Name  string
	Fence uint64
	// Since is when the sender was recorded.
	Since time.Time
	// TookOver tells that another sender was recorded before, whose report may still be on its way.
	TookOver bool `json:",omitempty"`
}

// Window is the content of a window object.
type Window struct {
	ID     ID
	Length time.Duration
	State  State
	// Figures, Late, Members and Digest are set when the window is frozen.
	Figures Use      `json:",omitempty"`
	Late    []Late   `json:",omitempty"`
	Members []Member `json:",omitempty"`
	Digest  string   `json:",omitempty"`
	// Unread names the backend servers whose own counts could not be read for a silent host, as "host server".
	Unread []string `json:",omitempty"`
	Sender Sender   `json:",omitzero"`
	// Reported is when the platform accepted the report.
	Reported time.Time `json:",omitzero"`
}

// New returns an open window.
func New(id ID, length time.Duration) Window { return Window{ID: id, Length: length} }

// EndTime returns when the window ends.
func (w *Window) EndTime() time.Time { return w.ID.Start().Add(w.Length) }

// fire moves the window along its chart.
func (w *Window) fire(e Event) error {
	m := life.NewAt(w.State)
	if err := m.Fire(e); err != nil {
		return err
	}
	w.State = m.State()
	return nil
}

// EarlyError is a step taken before its time.
type EarlyError struct {
	ID   ID
	Step string
	Wait time.Duration
}

func (e *EarlyError) Error() string {
	return fmt.Sprintf("usage window %s: too early to %s; wait %s", e.ID, e.Step, e.Wait)
}

// Close ends the window once its time is over.
func (w *Window) Close(now time.Time) error {
	if d := w.EndTime().Sub(now); d > 0 {
		return &EarlyError{w.ID, "close", d}
	}
	return w.fire(End)
}

// Page is what a window takes from a ledger: use counted in Origin.
type Page struct {
	Member
	Origin ID
	Use    Use
}

// Freeze sums pages into figures that never change again, grace after the window's end.
// The figures depend on the pages alone and not on their order.
func (w *Window) Freeze(now time.Time, grace time.Duration, pages []Page, unread []string) error {
	if d := w.EndTime().Add(grace).Sub(now); d > 0 {
		return &EarlyError{w.ID, "freeze", d}
	}
	if err := w.fire(Freeze); err != nil {
		return err
	}
	w.Figures = Use{}
	late := map[ID]Use{}
	for _, p := range pages {
		w.Members = append(w.Members, p.Member)
		if p.Origin == w.ID {
			w.Figures.Merge(p.Use)
			continue
		}
		if late[p.Origin] == nil {
			late[p.Origin] = Use{}
		}
		late[p.Origin].Merge(p.Use)
	}
	for id, u := range late {
		w.Late = append(w.Late, Late{id, u})
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

// digest returns the SHA-256 of the figures in their canonical form: JSON sorts the keys of maps.
func (w *Window) digest() string {
	b, err := json.Marshal(struct {
		ID      ID
		Figures Use    `json:",omitempty"`
		Late    []Late `json:",omitempty"`
	}{w.ID, w.Figures, w.Late})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Has reports whether the window's figures include the page.
func (w *Window) Has(m Member) bool {
	for _, x := range w.Members {
		if x == m {
			return true
		}
	}
	return false
}

// StaleError is a claim by a reporter whose fencing number is behind.
type StaleError struct {
	ID         ID
	Have, Seen uint64
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("usage window %s is claimed with fencing number %d, ahead of %d; stop reporting and wait for the next term", e.ID, e.Seen, e.Have)
}

// ClaimBy records the sender of the report. A lower fencing number than the recorded one is refused.
func (w *Window) ClaimBy(now time.Time, name string, fence uint64) error {
	if fence < w.Sender.Fence || fence == w.Sender.Fence && w.Sender.Name != "" && w.Sender.Name != name {
		return &StaleError{w.ID, fence, w.Sender.Fence}
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

// Accepted notes that the platform took the report.
func (w *Window) Accepted(now time.Time) error {
	if err := w.fire(Accept); err != nil {
		return err
	}
	w.Reported = now
	return nil
}

// Total returns figures and late use together.
func (w *Window) Total() Use {
	out := Use{}
	out.Merge(w.Figures)
	for _, l := range w.Late {
		out.Merge(l.Use)
	}
	return out
}

// Summary is a window as operators see it.
type Summary struct {
	ID         ID
	State      State
	Start, End time.Time
	Figures    Use
	Late       []Late
	// Digest is empty until the window is frozen.
	Digest string
	Sender string
	// Unread names counts that could not be read, see [Window].
	Unread []string
	// Difference is the platform's report less the frozen figures; empty is the promise.
	Difference Use
	// Intact tells that the frozen figures match their digest.
	Intact bool
}

// Summary returns the window for operators.
func (w *Window) Summary() Summary {
	return Summary{
		ID: w.ID, State: w.State, Start: w.ID.Start(), End: w.EndTime(), Figures: w.Figures, Late: w.Late,
		Digest: w.Digest, Sender: w.Sender.Name, Unread: w.Unread,
		Intact: w.State < Frozen || w.Digest == w.digest(),
	}
}

// Difference returns by how much a differs from b, organisations without a difference left out.
func Difference(a, b Use) Use {
	out := Use{}
	out.Merge(a)
	for o, v := range b {
		out.Add(o, meter.Use{Requests: -v.Requests, PromptTokens: -v.PromptTokens, OutputTokens: -v.OutputTokens})
	}
	for o, v := range out {
		if v == (meter.Use{}) {
			delete(out, o)
		}
	}
	return out
}
