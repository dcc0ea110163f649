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

// Kind is the kind of the platform objects that hold ledgers. The name of an object is its incarnation.
const Kind = "UsageLedger"

// Page holds usage that was counted in one window. The reporter seals a page to include it in the figures of a window,
// which are its sums of usage. No usage is added to a sealed page.
type Page struct {
	// Number is unique in the ledger and increases with each new page.
	Number uint64
	// Origin is the window in which the usage was counted.
	Origin window.ID
	// SealedIn is the window whose figures include the page. It is empty until the page is sealed.
	SealedIn window.ID `json:",omitempty"`
	Use      window.Usage
}

// pageJSON is the JSON form of a [Page]. The usage of an organisation is an array of three numbers instead of an
// object, because a host writes all its pages at each flush.
type pageJSON struct {
	Number   uint64
	Origin   window.ID
	SealedIn window.ID `json:",omitempty"`
	// Use holds the requests, prompt tokens and output tokens of each organisation.
	Use map[string][3]int64
}

// MarshalJSON implements [json.Marshaler].
func (p Page) MarshalJSON() ([]byte, error) {
	d := pageJSON{Number: p.Number, Origin: p.Origin, SealedIn: p.SealedIn, Use: make(map[string][3]int64, len(p.Use))}
	for o, u := range p.Use {
		d.Use[o] = [3]int64{u.Requests, u.PromptTokens, u.OutputTokens}
	}
	return json.Marshal(d)
}

// UnmarshalJSON implements [json.Unmarshaler].
func (p *Page) UnmarshalJSON(b []byte) error {
	var d pageJSON
	if err := json.Unmarshal(b, &d); err != nil {
		return err
	}
	*p = Page{Number: d.Number, Origin: d.Origin, SealedIn: d.SealedIn, Use: make(window.Usage, len(d.Use))}
	for o, u := range d.Use {
		p.Use[o] = meter.Usage{Requests: u[0], PromptTokens: u[1], OutputTokens: u[2]}
	}
	return nil
}

// Partial is the usage recorded from backend servers' counts for a request that its host has not recorded as ended.
type Partial struct {
	Organisation string
	Use          meter.Usage
}

// Spec is the content of a ledger object: the usage counted by one incarnation of a host, which is one run of its
// process. The host adds usage, and the reporter seals pages and records partial usage if the host stops flushing. Both
// use conditional updates, so that neither overwrites changes of the other.
type Spec struct {
	Incarnation string
	Host        string
	Zone        string
	// Flushes is the number of the host's last write. From it the host knows whether a write whose response was lost
	// has taken effect.
	Flushes uint64
	// Flushed is when the host last wrote.
	Flushed time.Time
	// Next is the next request number at the time of the last flush. Open lists the lower numbers whose requests had
	// not ended. The pages include the requests of all other lower numbers.
	Next uint64
	Open []uint64 `json:",omitempty"`
	// Partials holds the usage of requests that have not ended, by number, as far as the pages include it.
	Partials map[uint64]Partial `json:",omitempty"`
	Pages    []Page             `json:",omitempty"`
	// LastPage is the highest page number that was ever used.
	LastPage uint64
	// Closed is set if the host stopped as planned and flushed all usage.
	Closed bool `json:",omitempty"`
	// Estimated is the number of requests whose usage was estimated from the responses to callers, because a backend
	// server's count could not be read.
	Estimated uint64 `json:",omitempty"`
}

// Decode decodes the content of a ledger object.
func Decode(o store.Object) (*Spec, error) {
	s := &Spec{}
	if err := json.Unmarshal(o.Spec, s); err != nil {
		return nil, errors.Wrapf(err, "cannot decode usage ledger %s; restore the object from a backup of the platform", o.Name)
	}
	return s, nil
}

// Encode returns the platform object for s with the given version.
func (s *Spec) Encode(version string) (store.Object, error) {
	b, err := json.Marshal(s)
	return store.Object{Kind: Kind, Name: s.Incarnation, Version: version, Spec: b}, err
}

// Ended reports whether the pages include the complete usage of the request.
func (s *Spec) Ended(number uint64) bool {
	return number < s.Next && !slices.Contains(s.Open, number)
}

// Add adds usage that was counted in the window origin to the unsealed page of that window. It creates the page if
// there is none.
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

// UpdatePartial raises the recorded usage of a request that has not ended to u, the sum of the backend servers' counts.
// It reports whether s changed.
func (s *Spec) UpdatePartial(origin window.ID, number uint64, organisation string, u meter.Usage) bool {
	if s.Ended(number) {
		return false
	}
	recorded := s.Partials[number]
	more := excess(u, recorded.Use)
	if more == (meter.Usage{}) {
		return false
	}
	if s.Partials == nil {
		s.Partials = map[uint64]Partial{}
	}
	s.Partials[number] = Partial{organisation, recorded.Use.Add(more)}
	s.Add(origin, organisation, more)
	return true
}

// EndRequest adds the final usage of a request, minus what [Spec.UpdatePartial] has already added.
func (s *Spec) EndRequest(origin window.ID, number uint64, organisation string, u meter.Usage) {
	recorded := s.Partials[number]
	s.Add(origin, organisation, excess(u, recorded.Use))
	delete(s.Partials, number)
}

// excess returns by how much u exceeds recorded. It is never negative, because the counts of backend servers only
// increase.
func excess(u, recorded meter.Usage) meter.Usage {
	return meter.Usage{
		Requests:     max(u.Requests-recorded.Requests, 0),
		PromptTokens: max(u.PromptTokens-recorded.PromptTokens, 0),
		OutputTokens: max(u.OutputTokens-recorded.OutputTokens, 0),
	}
}

// Seal seals the unsealed pages with origins up to w in the window w, and reports whether s changed.
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

// Prune deletes the pages for which drop returns true, and reports whether s changed.
func (s *Spec) Prune(drop func(Page) bool) bool {
	n := len(s.Pages)
	s.Pages = slices.DeleteFunc(s.Pages, drop)
	return len(s.Pages) != n
}

// SealedPages returns the pages that are sealed in the window w.
func (s *Spec) SealedPages(w window.ID) []window.Page {
	var out []window.Page
	for _, p := range s.Pages {
		if p.SealedIn == w {
			out = append(out, window.Page{PageRef: window.PageRef{Ledger: s.Incarnation, Page: p.Number}, Origin: p.Origin, Use: p.Use})
		}
	}
	return out
}
