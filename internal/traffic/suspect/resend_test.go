package suspect

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	hosts         = 5
	backends      = 10
	slots         = 17
	resends       = 20
	exchange      = time.Second
	step          = 10 * time.Millisecond
	bad           = uint64(1)
	attemptsLimit = 3
)

// job is one request in a [bench].
type job struct {
	id       request.ID
	fp       uint64
	host     int
	server   int
	attempts int
	ready    time.Time
	ends     time.Time
	refused  bool
	done     bool
}

// bench is a few hosts before a few servers, stepped in virtual time. The request with the fingerprint
// bad crashes each server that it runs on.
type bench struct {
	rng      *rand.Rand
	now      time.Time
	trackers []*Tracker
	down     [backends]time.Time
	jobs     []*job
	onServer [backends][]*job
	added    int
	crashes  int
	// obedient hosts keep the times of RunAfter and RefuseAfter.
	obedient bool
	mail     []letter
}

type letter struct {
	at    time.Time
	from  int
	marks map[uint64]int
}

func newBench(seed uint64, obedient bool) *bench {
	b := &bench{rng: rand.New(rand.NewPCG(seed, 1)), now: start, obedient: obedient}
	for range hosts {
		b.trackers = append(b.trackers, New())
	}
	return b
}

func (b *bench) add(fp uint64, host int) *job {
	b.added++
	j := &job{id: request.ID(strconv.Itoa(b.added)), fp: fp, host: host, server: -1, ready: b.now}
	b.jobs = append(b.jobs, j)
	return j
}

// advance runs one step: letters, ends, starts.
func (b *bench) advance() {
	b.now = b.now.Add(step)
	b.exchange()
	for _, j := range b.jobs {
		if j.server >= 0 && !b.now.Before(j.ends) {
			b.end(j)
		}
	}
	for _, j := range b.jobs {
		if !j.done && j.server < 0 && !b.now.Before(j.ready) {
			b.try(j)
		}
	}
}

func (b *bench) exchange() {
	for len(b.mail) > 0 && !b.now.Before(b.mail[0].at) {
		l := b.mail[0]
		b.mail = b.mail[1:]
		for h, t := range b.trackers {
			if h != l.from {
				t.MergeFrom(b.now, strconv.Itoa(l.from), l.marks)
			}
		}
	}
	if b.now.Sub(start)%(exchange/2) == 0 {
		for h, t := range b.trackers {
			b.mail = append(b.mail, letter{b.now.Add(exchange / 2), h, t.Marks()})
		}
	}
}

// try starts a job where its verdict allows, or refuses it.
func (b *bench) try(j *job) {
	t := b.trackers[j.host]
	v := t.Verdict(b.now, j.fp)
	if v == Held || j.attempts >= attemptsLimit {
		if b.obedient && b.now.Before(t.RefuseAfter(j.fp)) {
			return
		}
		j.refused, j.done = true, true
		return
	}
	if v == Isolate && b.obedient && b.now.Before(t.RunAfter(b.now, j.fp)) {
		return
	}
	for _, s := range b.rng.Perm(backends) {
		if b.now.Before(b.down[s]) || !b.fits(j, s, v, t) {
			continue
		}
		j.server, j.ends = s, b.now.Add(time.Duration(100+b.rng.IntN(3000))*time.Millisecond)
		if j.fp == bad {
			j.ends = b.now.Add(time.Duration(10+b.rng.IntN(200)) * time.Millisecond)
		}
		j.attempts++
		b.onServer[s] = append(b.onServer[s], j)
		t.Started(b.now, j.fp, j.id, strconv.Itoa(s))
		return
	}
}

// fits reports whether the verdict allows the job beside what this host runs on the server.
func (b *bench) fits(j *job, s int, v Verdict, t *Tracker) bool {
	if len(b.onServer[s]) >= slots {
		return false
	}
	if v == Isolate && b.obedient && !t.Allowed(j.fp, strconv.Itoa(s)) {
		return false
	}
	for _, o := range b.onServer[s] {
		if v == Isolate && o.host == j.host && t.Verdict(b.now, o.fp) != Free {
			return false
		}
	}
	return true
}

func (b *bench) end(j *job) {
	if j.fp != bad {
		b.finish(j, request.Completed)
		return
	}
	s := j.server
	b.crashes++
	b.down[s] = b.now.Add(5 * time.Second)
	for _, o := range slices.Clone(b.onServer[s]) {
		b.finish(o, request.Broken)
	}
}

func (b *bench) finish(j *job, o request.Outcome) {
	s := j.server
	b.onServer[s] = slices.DeleteFunc(b.onServer[s], func(o *job) bool { return o == j })
	b.trackers[j.host].Finished(b.now, j.id, request.Result{ID: j.id, Server: strconv.Itoa(s), Outcome: o})
	j.server = -1
	j.done = o == request.Completed
	j.ready = b.now.Add(time.Duration(b.rng.IntN(25)) * time.Millisecond)
	if o == request.Broken && j.attempts == attemptsLimit && j.fp != bad {
		// Budget and attempts are another package's; here only the verdict refuses innocents.
		j.attempts--
	}
}

// resend offers innocents all the while and the bad request resends times, each to a random host at once after the refusal.
func (b *bench) resend() (innocentsRefused int) {
	current := b.add(bad, 0)
	sent := 1
	for fp := uint64(100); sent < resends || !current.done; fp++ {
		b.add(fp, b.rng.IntN(hosts))
		b.advance()
		if current.done && sent < resends {
			current = b.add(bad, b.rng.IntN(hosts))
			sent++
		}
		b.compact()
	}
	for _, j := range b.jobs {
		if j.refused && j.fp != bad {
			innocentsRefused++
		}
	}
	return innocentsRefused
}

// compact drops what completed.
func (b *bench) compact() {
	kept := b.jobs[:0]
	for _, j := range b.jobs {
		if !j.done || j.refused || j.fp == bad {
			kept = append(kept, j)
		}
	}
	b.jobs = kept
}

func TestResentCrasherOverHosts(t *testing.T) {
	for seed := range uint64(100) {
		b := newBench(seed, true)
		refused := b.resend()
		if b.crashes > 3 || refused > 0 {
			t.Errorf("seed %d: %d servers crashed, %d innocent requests refused", seed, b.crashes, refused)
		}
	}
}

// BenchmarkResentCrasher compares hosts that let marks settle with hosts that do not.
func BenchmarkResentCrasher(b *testing.B) {
	for name, obedient := range map[string]bool{"settled": true, "unsettled": false} {
		b.Run(name, func(b *testing.B) {
			crashes, refused, worst := 0, 0, 0
			for i := range b.N {
				w := newBench(uint64(i), obedient)
				refused += w.resend()
				crashes += w.crashes
				worst = max(worst, w.crashes)
			}
			b.ReportMetric(float64(crashes)/float64(b.N), "crashes/op")
			b.ReportMetric(float64(worst), "crashes-max")
			b.ReportMetric(float64(refused)/float64(b.N), "innocents-refused/op")
		})
	}
}
