package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/window"
)

// Kind is the kind of the platform's ledger objects. Their names are incarnations.
const Kind = "UsageLedger"

// Page is use that was counted in one window. It is never changed once sealed.
type Page struct {
	// Number is unique and rising within the ledger.
	Number uint64
	Origin window.ID
	// SealedPages is the window whose figures include the page; empty while the page takes use.
	SealedIn window.ID `json:",omitempty"`
	Use      window.Usage
}

// pageData is a page on the platform. Use is three numbers an organisation, for a host writes all of them at each flush.
type pageData struct {
	Number   uint64
	Origin   window.ID
	SealedIn window.ID `json:",omitempty"`
	// Use holds requests, prompt tokens and output tokens.
	Use map[string][3]int64
}

// MarshalJSON writes the page in its short form.
func (p Page) MarshalJSON() ([]byte, error) {
	d := pageData{Number: p.Number, Origin: p.Origin, SealedIn: p.SealedIn, Use: make(map[string][3]int64, len(p.Use))}
	for o, u := range p.Use {
		d.Use[o] = [3]int64{u.Requests, u.PromptTokens, u.OutputTokens}
	}
	return json.Marshal(d)
}

// UnmarshalJSON reads the short form.
func (p *Page) UnmarshalJSON(b []byte) error {
	var d pageData
	if err := json.Unmarshal(b, &d); err != nil {
		return err
	}
	*p = Page{Number: d.Number, Origin: d.Origin, SealedIn: d.SealedIn, Use: make(window.Usage, len(d.Use))}
	for o, u := range d.Use {
		p.Use[o] = meter.Usage{Requests: u[0], PromptTokens: u[1], OutputTokens: u[2]}
	}
	return nil
}

// Partial is what was booked of a request that its host has not ended yet, from a backend server's own count.
type Partial struct {
	Organisation string
	Use          meter.Usage
}

// Spec is the content of a ledger: all that one host incarnation counted. The host
// flushes to it; the reporter seals its pages and raises partials for a silent host.
// Both write by conditional update, so that neither overwrites the other.
type Spec struct {
	Incarnation string
	Host        string
	Zone        string
	// Flushes counts the host's own writes, so that it can tell whether one whose answer was lost took effect.
	Flushes uint64
	// Flushed is when the host last wrote.
	Flushed time.Time
	// Next is above each request number issued at the last flush. Open lists those below it that
	// had not ended. All others below Next are part of the pages.
	Next uint64
	Open []uint64 `json:",omitempty"`
	// Partials holds what pages include of requests that are not ended.
	Partials map[uint64]Partial `json:",omitempty"`
	Pages    []Page             `json:",omitempty"`
	// LastPage is the highest page number ever used.
	LastPage uint64
	// Closed tells that the host stopped as planned: nothing is missing.
	Closed bool `json:",omitempty"`
	// Estimated counts requests booked from what callers got, because no backend server's own count could be had.
	Estimated uint64 `json:",omitempty"`
}

// Decode reads a ledger object.
func Decode(o store.Object) (*Spec, error) {
	s := &Spec{}
	if err := json.Unmarshal(o.Spec, s); err != nil {
		return nil, errors.Wrapf(err, "usage ledger %s is unreadable; restore it from a copy of the platform's objects", o.Name)
	}
	return s, nil
}

// Encode returns the object of s at a version.
func (s *Spec) Encode(version string) (store.Object, error) {
	b, err := json.Marshal(s)
	return store.Object{Kind: Kind, Name: s.Incarnation, Version: version, Spec: b}, err
}

// Ended reports whether the pages hold all of the request.
func (s *Spec) Ended(number uint64) bool {
	return number < s.Next && !slices.Contains(s.Open, number)
}

// Add books use counted in origin on its open page, or on a new one.
func (s *Spec) Add(origin window.ID, organisation string, u meter.Usage) {
	if u == (meter.Usage{}) {
		return
	}
	for i := range s.Pages {
		if p := &s.Pages[i]; p.Origin == origin && p.SealedIn == "" {
			p.Use.Add(organisation, u)
			return
		}
	}
	s.LastPage++
	s.Pages = append(s.Pages, Page{Number: s.LastPage, Origin: origin, Use: window.Usage{organisation: u}})
}

// UpdatePartial books what a backend server counted of a request that has not ended, beyond
// what is booked of it. It reports whether it changed anything.
func (s *Spec) UpdatePartial(origin window.ID, number uint64, organisation string, u meter.Usage) bool {
	if s.Ended(number) {
		return false
	}
	had := s.Partials[number]
	more := beyond(u, had.Use)
	if more == (meter.Usage{}) {
		return false
	}
	if s.Partials == nil {
		s.Partials = map[uint64]Partial{}
	}
	s.Partials[number] = Partial{organisation, had.Use.Add(more)}
	s.Add(origin, organisation, more)
	return true
}

// EndRequest books the whole use of a request, less what was raised before.
func (s *Spec) EndRequest(origin window.ID, number uint64, organisation string, u meter.Usage) {
	had := s.Partials[number]
	s.Add(origin, organisation, beyond(u, had.Use))
	delete(s.Partials, number)
}

// beyond returns by how much u exceeds had. Counts of backend servers only rise, so that it is never below zero.
func beyond(u, had meter.Usage) meter.Usage {
	return meter.Usage{
		Requests:     max(u.Requests-had.Requests, 0),
		PromptTokens: max(u.PromptTokens-had.PromptTokens, 0),
		OutputTokens: max(u.OutputTokens-had.OutputTokens, 0),
	}
}

// Seal assigns the open pages of origins up to w to the window w and reports whether it changed anything.
func (s *Spec) Seal(w window.ID) bool {
	changed := false
	for i := range s.Pages {
		if p := &s.Pages[i]; p.SealedIn == "" && p.Origin <= w {
			p.SealedIn = w
			changed = true
		}
	}
	return changed
}

// Prune drops the pages for which drop returns true and reports whether it changed anything.
func (s *Spec) Prune(drop func(Page) bool) bool {
	n := len(s.Pages)
	s.Pages = slices.DeleteFunc(s.Pages, drop)
	return len(s.Pages) != n
}

// SealedPages returns the pages whose use belongs to the window.
func (s *Spec) SealedPages(w window.ID) []window.Page {
	var out []window.Page
	for _, p := range s.Pages {
		if p.SealedIn == w {
			out = append(out, window.Page{PageRef: window.PageRef{Ledger: s.Incarnation, Page: p.Number}, Origin: p.Origin, Use: p.Use})
		}
	}
	return out
}
