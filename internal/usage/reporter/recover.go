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
	"shallotramp/internal/usage/requesttag"
	"shallotramp/internal/usage/window"
)

// maxConcurrentReads is the maximum number of backend servers that are read at the same time.
const maxConcurrentReads = 16

// recoverSilentHosts records the usage that backend servers counted for hosts that no longer flush. If force is false,
// it does so only if a recovery is due. A host that was only paused records the rest of its usage when it continues.
func (r *Reporter) recoverSilentHosts(ctx context.Context, force bool) error {
	if r.countReader == nil || !force && !r.recoveryDue() {
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
		if silence := time.Since(s.Flushed); !s.Closed && silence > silentAfter && silence < recoveryPeriod {
			silent[o.Name] = s
		}
	}
	r.lastRecovery, r.unreadCounts = time.Now(), nil
	for incarnation, host := range r.incarnationsToRecover(known, silent) {
		if err := r.recoverIncarnation(ctx, known, incarnation, host); err != nil {
			return err
		}
	}
	return nil
}

// incarnationsToRecover returns the incarnations whose usage must be recovered, with the names of their hosts. These
// are the silent ones and those that failed without a ledger.
func (r *Reporter) incarnationsToRecover(known map[string]store.Object, silent map[string]*ledger.Spec) map[string]string {
	out := map[string]string{}
	for incarnation, s := range silent {
		out[incarnation] = s.Host
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, at := range r.failedAt {
		if _, ok := known[incarnation]; !ok && time.Since(at) > silentAfter {
			out[incarnation] = "unknown"
		}
	}
	return out
}

// recoveryDue reports whether a recovery is due: if the last one is long ago, or if a host failed so long ago that it
// counts as silent.
func (r *Reporter) recoveryDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pendingFailure.IsZero() && time.Since(r.pendingFailure) > silentAfter {
		r.pendingFailure = time.Time{}
		return true
	}
	return time.Since(r.lastRecovery) >= recoveryInterval
}

// recoverIncarnation raises the recorded usage of an incarnation's requests to the backend servers' counts.
func (r *Reporter) recoverIncarnation(ctx context.Context, known map[string]store.Object, incarnation, host string) error {
	counts, unread := r.readAllCounts(ctx, incarnation)
	for _, server := range unread {
		r.unreadCounts = append(r.unreadCounts, host+" "+server)
	}
	if len(counts) == 0 {
		return nil
	}
	o, ok := known[incarnation]
	if !ok {
		var err error
		if o, ok, err = r.createLedger(ctx, incarnation); err != nil || !ok {
			return err
		}
	}
	_, err := r.updateLedger(ctx, o, func(s *ledger.Spec) (bool, error) {
		return r.updatePartials(s, counts), nil
	})
	return err
}

// createLedger creates the ledger of a host that failed before its first flush. It returns false if the incarnation
// started less than silentAfter or more than ledgerRetention ago, if its name contains no start time, or if the ledger
// exists already.
func (r *Reporter) createLedger(ctx context.Context, incarnation string) (store.Object, bool, error) {
	if !startedLongerAgo(incarnation, silentAfter) || startedLongerAgo(incarnation, ledgerRetention) {
		return store.Object{}, false, nil
	}
	s := &ledger.Spec{Incarnation: incarnation, Host: "unknown", Next: 1, Flushed: requesttag.StartTime(incarnation)}
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

// startedLongerAgo reports whether the incarnation started more than d ago, according to the time in its name.
func startedLongerAgo(incarnation string, d time.Duration) bool {
	t := requesttag.StartTime(incarnation)
	return !t.IsZero() && time.Since(t) > d
}

// updatePartials raises the recorded usage of requests that have not ended to counts, and reports whether s changed.
func (r *Reporter) updatePartials(s *ledger.Spec, counts map[requesttag.Tag]meter.Usage) bool {
	names := map[uint64]string{requesttag.HashOrganisation(""): ""}
	for _, n := range r.organisations() {
		names[requesttag.HashOrganisation(n)] = n
	}
	tags := make([]requesttag.Tag, 0, len(counts))
	for t := range counts {
		tags = append(tags, t)
	}
	sort.Slice(tags, func(i, j int) bool { return tags[i].Number < tags[j].Number })
	changed := false
	for _, t := range tags {
		name, ok := names[t.Organisation]
		if !ok {
			name = fmt.Sprintf("unknown-%016x", t.Organisation)
		}
		changed = s.UpdatePartial(window.IDAt(s.Flushed, r.windowLength), t.Number, name, counts[t]) || changed
	}
	return changed
}

// readAllCounts returns the sum of all servers' counts for each request of an incarnation, and the servers whose counts
// could not be read. A request counts once, even if several servers ran it.
func (r *Reporter) readAllCounts(ctx context.Context, incarnation string) (map[requesttag.Tag]meter.Usage, []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[requesttag.Tag]meter.Usage{}
	var unread []string
	slots := make(chan struct{}, maxConcurrentReads)
	for _, server := range r.servers() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			counts, err := r.countReader.Counts(ctx, server, incarnation)
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
