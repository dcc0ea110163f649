package reporter

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"shallotramp/internal/provider/store"
	"shallotramp/internal/usage/ledger"
	"shallotramp/internal/usage/meter"
	"shallotramp/internal/usage/tag"
	"shallotramp/internal/usage/window"
)

// readersAtOnce bounds the backend servers asked at the same time.
const readersAtOnce = 16

// settleSilent books what backend servers counted for hosts that no longer flush. A host
// that is only paused loses nothing by it: it books the rest when it comes back.
func (r *Reporter) settleSilent(ctx context.Context, now bool) error {
	if r.records == nil || !now && !r.settleDue() {
		return nil
	}
	list, _, err := r.store.List(ctx, ledger.Kind)
	if err != nil {
		return err
	}
	known := map[string]store.Object{}
	silent := map[string]*ledger.Spec{}
	for _, o := range list {
		known[o.Name] = o
		s, err := ledger.Decode(o)
		if err != nil {
			return err
		}
		if idle := time.Since(s.Flushed); !s.Closed && idle > silentAfter && idle < settleFor {
			silent[o.Name] = s
		}
	}
	r.settled, r.unread = time.Now(), nil
	for incarnation, host := range r.missing(known, silent) {
		if err := r.bookSilent(ctx, known, incarnation, host); err != nil {
			return err
		}
	}
	return nil
}

// missing returns the incarnations to ask for, with their hosts: silent ones, and those that vanished without a ledger.
func (r *Reporter) missing(known map[string]store.Object, silent map[string]*ledger.Spec) map[string]string {
	out := map[string]string{}
	for incarnation, s := range silent {
		out[incarnation] = s.Host
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, at := range r.vanished {
		if _, ok := known[incarnation]; !ok && time.Since(at) > silentAfter {
			out[incarnation] = "unknown"
		}
	}
	return out
}

// settleDue reports whether a reading is due, by time or by a hint old enough for the host to count as silent.
func (r *Reporter) settleDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hinted.IsZero() && time.Since(r.hinted) > silentAfter {
		r.hinted = time.Time{}
		return true
	}
	return time.Since(r.settled) >= settleInterval
}

// bookSilent raises one incarnation's requests to the servers' counts.
func (r *Reporter) bookSilent(ctx context.Context, known map[string]store.Object, incarnation, host string) error {
	sums, unread := r.readAll(ctx, incarnation)
	for _, server := range unread {
		r.unread = append(r.unread, host+" "+server)
	}
	if len(sums) == 0 {
		return nil
	}
	o, ok := known[incarnation]
	if !ok {
		var err error
		if o, ok, err = r.adopt(ctx, incarnation); err != nil || !ok {
			return err
		}
	}
	_, err := r.changeLedger(ctx, o, func(s *ledger.Spec) (bool, error) {
		return r.raise(s, sums), nil
	})
	return err
}

// adopt creates the ledger of a host that vanished before its first flush.
func (r *Reporter) adopt(ctx context.Context, incarnation string) (store.Object, bool, error) {
	if !startedBefore(incarnation, silentAfter) || startedBefore(incarnation, keepLedgers) {
		return store.Object{}, false, nil
	}
	s := &ledger.Spec{Incarnation: incarnation, Host: "unknown", Next: 1, Flushed: tag.StartTime(incarnation)}
	o, err := s.Encode("")
	if err != nil {
		return store.Object{}, false, err
	}
	o, err = r.store.Create(ctx, o)
	if store.Failed(err, store.Exists) {
		return store.Object{}, false, nil
	}
	return o, err == nil, err
}

// startedBefore reports whether the incarnation's name tells a start more than d ago.
func startedBefore(incarnation string, d time.Duration) bool {
	t := tag.StartTime(incarnation)
	return !t.IsZero() && time.Since(t) > d
}

func (r *Reporter) raise(s *ledger.Spec, sums map[tag.Tag]meter.Usage) bool {
	names := map[uint64]string{tag.HashOrganisation(""): ""}
	for _, n := range r.names() {
		names[tag.HashOrganisation(n)] = n
	}
	tags := make([]tag.Tag, 0, len(sums))
	for t := range sums {
		tags = append(tags, t)
	}
	sort.Slice(tags, func(i, j int) bool { return tags[i].Number < tags[j].Number })
	changed := false
	for _, t := range tags {
		name, ok := names[t.Organisation]
		if !ok {
			name = fmt.Sprintf("unknown-%016x", t.Organisation)
		}
		changed = s.UpdatePartial(window.IDAt(s.Flushed, r.length), t.Number, name, sums[t]) || changed
	}
	return changed
}

// readAll sums all servers' counts of an incarnation by request, and names the servers that gave none.
func (r *Reporter) readAll(ctx context.Context, incarnation string) (map[tag.Tag]meter.Usage, []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[tag.Tag]meter.Usage{}
	var unread []string
	slots := make(chan struct{}, readersAtOnce)
	for _, server := range r.servers() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			counts, err := r.records.Counts(ctx, server, incarnation)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unread = append(unread, server)
				return
			}
			for t, u := range counts {
				sum := out[t].Add(u)
				sum.Requests = 1
				out[t] = sum
			}
		})
	}
	wg.Wait()
	return out, unread
}
