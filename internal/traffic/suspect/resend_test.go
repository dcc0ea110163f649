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
	hostCount   = 5
	serverCount = 10
	serverSlots = 17
	resendCount = 20
	// maxExchangeDelay is the longest time until a mark reaches the other hosts.
	maxExchangeDelay = time.Second
	stepTime         = 10 * time.Millisecond
	crasher          = uint64(1)
	maxAttempts      = 3
)

// job is one request in a [cluster]. server is -1 while the job does not run.
type job struct {
	id       request.ID
	fp       uint64
	host     int
	server   int
	attempts int
	readyAt  time.Time
	endsAt   time.Time
	refused  bool
	done     bool
}

// cluster simulates hosts that share backend servers, in steps of virtual time. A request with the fingerprint
// crasher crashes each server that it runs on.
type cluster struct {
	rng       *rand.Rand
	now       time.Time
	trackers  []*Tracker
	down      [serverCount]time.Time
	jobs      []*job
	onServer  [serverCount][]*job
	addedJobs int
	crashes   int
	// honorDelays makes the hosts respect Allowed, RunAfter and RefuseAfter.
	honorDelays bool
	messages    []message
}

// message carries the marks of one host to all others.
type message struct {
	at    time.Time
	from  int
	marks map[uint64]int
}

func newCluster(seed uint64, honorDelays bool) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), now: start, honorDelays: honorDelays}
	for range hostCount {
		c.trackers = append(c.trackers, New())
	}
	return c
}

func (c *cluster) add(fp uint64, host int) *job {
	c.addedJobs++
	j := &job{id: request.ID(strconv.Itoa(c.addedJobs)), fp: fp, host: host, server: -1, readyAt: c.now}
	c.jobs = append(c.jobs, j)
	return j
}

// step advances the time by one step. It delivers messages, ends jobs and starts jobs, in this order.
func (c *cluster) step() {
	c.now = c.now.Add(stepTime)
	c.exchangeMarks()
	for _, j := range c.jobs {
		if j.server >= 0 && !c.now.Before(j.endsAt) {
			c.end(j)
		}
	}
	for _, j := range c.jobs {
		if !j.done && j.server < 0 && !c.now.Before(j.readyAt) {
			c.startOrRefuse(j)
		}
	}
}

func (c *cluster) exchangeMarks() {
	for len(c.messages) > 0 && !c.now.Before(c.messages[0].at) {
		msg := c.messages[0]
		c.messages = c.messages[1:]
		for h, t := range c.trackers {
			if h != msg.from {
				t.UpdatePeer(c.now, strconv.Itoa(msg.from), msg.marks)
			}
		}
	}
	if c.now.Sub(start)%(maxExchangeDelay/2) == 0 {
		for h, t := range c.trackers {
			c.messages = append(c.messages, message{c.now.Add(maxExchangeDelay / 2), h, t.Marks()})
		}
	}
}

// startOrRefuse starts a job on a server that its verdict allows, or refuses it.
func (c *cluster) startOrRefuse(j *job) {
	t := c.trackers[j.host]
	v := t.Verdict(c.now, j.fp)
	if v == Held || j.attempts >= maxAttempts {
		if c.honorDelays && c.now.Before(t.RefuseAfter(j.fp)) {
			return
		}
		j.refused, j.done = true, true
		return
	}
	if v == Isolate && c.honorDelays && c.now.Before(t.RunAfter(c.now, j.fp)) {
		return
	}
	for _, s := range c.rng.Perm(serverCount) {
		if c.now.Before(c.down[s]) || !c.canRunOn(j, s, v, t) {
			continue
		}
		j.server, j.endsAt = s, c.now.Add(time.Duration(100+c.rng.IntN(3000))*time.Millisecond)
		if j.fp == crasher {
			j.endsAt = c.now.Add(time.Duration(10+c.rng.IntN(200)) * time.Millisecond)
		}
		j.attempts++
		c.onServer[s] = append(c.onServer[s], j)
		t.Started(c.now, j.fp, j.id, strconv.Itoa(s))
		return
	}
}

// canRunOn reports whether server s has a free slot and the verdict allows the job to run there beside the other
// jobs of its host.
func (c *cluster) canRunOn(j *job, s int, v Verdict, t *Tracker) bool {
	if len(c.onServer[s]) >= serverSlots {
		return false
	}
	if v == Isolate && c.honorDelays && !t.Allowed(j.fp, strconv.Itoa(s)) {
		return false
	}
	for _, o := range c.onServer[s] {
		if v == Isolate && o.host == j.host && t.Verdict(c.now, o.fp) != Free {
			return false
		}
	}
	return true
}

func (c *cluster) end(j *job) {
	if j.fp != crasher {
		c.finish(j, request.Completed)
		return
	}
	s := j.server
	c.crashes++
	c.down[s] = c.now.Add(5 * time.Second)
	for _, o := range slices.Clone(c.onServer[s]) {
		c.finish(o, request.Broken)
	}
}

func (c *cluster) finish(j *job, outcome request.Outcome) {
	s := j.server
	c.onServer[s] = slices.DeleteFunc(c.onServer[s], func(o *job) bool { return o == j })
	c.trackers[j.host].Finished(c.now, j.id, request.Result{ID: j.id, Server: strconv.Itoa(s), Outcome: outcome})
	j.server = -1
	j.done = outcome == request.Completed
	j.readyAt = c.now.Add(time.Duration(c.rng.IntN(25)) * time.Millisecond)
	if outcome == request.Broken && j.attempts == maxAttempts && j.fp != crasher {
		// Other packages limit attempts. In this test, harmless requests may be refused only by their verdict.
		j.attempts--
	}
}

// resendCrasher sends the crasher resendCount times, each time to a random host directly after it was refused, and
// harmless requests all the time. It returns how many harmless requests were refused.
func (c *cluster) resendCrasher() (harmlessRefused int) {
	current := c.add(crasher, 0)
	sent := 1
	for fp := uint64(100); sent < resendCount || !current.done; fp++ {
		c.add(fp, c.rng.IntN(hostCount))
		c.step()
		if current.done && sent < resendCount {
			current = c.add(crasher, c.rng.IntN(hostCount))
			sent++
		}
		c.dropCompleted()
	}
	for _, j := range c.jobs {
		if j.refused && j.fp != crasher {
			harmlessRefused++
		}
	}
	return harmlessRefused
}

// dropCompleted drops the completed harmless jobs.
func (c *cluster) dropCompleted() {
	kept := c.jobs[:0]
	for _, j := range c.jobs {
		if !j.done || j.refused || j.fp == crasher {
			kept = append(kept, j)
		}
	}
	c.jobs = kept
}

// A request that crashes servers must not crash more of them by being resent to host after host, and the requests
// that ran beside it must not be refused.
func TestResentCrasherOverHosts(t *testing.T) {
	for seed := range uint64(100) {
		c := newCluster(seed, true)
		refused := c.resendCrasher()
		if c.crashes > 3 || refused > 0 {
			t.Errorf("seed %d: %d servers crashed, %d harmless requests refused", seed, c.crashes, refused)
		}
	}
}

// BenchmarkResentCrasher compares hosts that wait until marks have propagated with hosts that do not.
func BenchmarkResentCrasher(b *testing.B) {
	for name, honorDelays := range map[string]bool{"settled": true, "unsettled": false} {
		b.Run(name, func(b *testing.B) {
			crashes, refused, worst := 0, 0, 0
			for i := range b.N {
				c := newCluster(uint64(i), honorDelays)
				refused += c.resendCrasher()
				crashes += c.crashes
				worst = max(worst, c.crashes)
			}
			b.ReportMetric(float64(crashes)/float64(b.N), "crashes/op")
			b.ReportMetric(float64(worst), "crashes-max")
			b.ReportMetric(float64(refused)/float64(b.N), "innocents-refused/op")
		})
	}
}
