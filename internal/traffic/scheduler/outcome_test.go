package scheduler

import (
	"fmt"
	"sort"
	"time"

	"shallotramp/internal/traffic/queue"
)

// outcome is what a run measured.
type outcome struct {
	// attained is the share of offered requests within the latency targets, by tier from 1.
	attained []float64
	goodput  float64
	wasted   float64
	// gap is the longest time for which the lowest class had work waiting and none started.
	gap time.Duration
	// worst is the least share of its fair share that an organisation got in a class, and who.
	worst    float64
	worstWho string
	recovery time.Duration
	preempts int
	shed     []string
}

func (s *sim) met(j *simJob) bool {
	if !j.completed || j.first.Sub(j.req.Arrived) > time.Duration(j.load.spec.FirstToken) {
		return false
	}
	if b := time.Duration(j.load.spec.BetweenTokens); b > 0 && j.length > 1 {
		return j.ended.Sub(j.first)/time.Duration(j.length-1) <= b
	}
	return true
}

// counted reports whether the run saw the whole time in which j could meet its targets.
func (s *sim) counted(j *simJob) bool {
	if j.over {
		return true
	}
	return !j.first.IsZero() && s.now.Sub(j.req.Arrived) > j.req.Deadline.Sub(j.req.Arrived)
}

func (s *sim) measure() *outcome {
	o := &outcome{attained: make([]float64, len(s.d.work)), preempts: s.preempts, shed: s.violations}
	offered, met := make([]float64, len(s.d.work)), make([]float64, len(s.d.work))
	var good, wasted int
	for _, j := range s.jobs {
		wasted += j.wasted
		if j.over && !j.completed {
			// A broken answer is worth nothing, also when part of it came through.
			wasted += j.got
		}
		if !s.counted(j) && s.now.Sub(j.req.Arrived) < time.Duration(j.load.spec.FirstToken) || !j.first.IsZero() && !j.over {
			continue
		}
		offered[j.req.Tier-1]++
		if s.met(j) {
			met[j.req.Tier-1]++
			good += j.length
		}
	}
	for i := range offered {
		o.attained[i] = met[i] / offered[i]
	}
	o.goodput = float64(good) / s.now.Sub(simStart).Seconds()
	o.wasted = float64(wasted) / float64(max(1, s.outputs))
	o.gap = s.lowestGap()
	o.worst, o.worstWho = s.fairness()
	o.recovery = s.recovery()
	return o
}

// lowestGap returns the longest time between starts of the lowest class during which something of it waited.
func (s *sim) lowestGap() time.Duration {
	low := len(s.d.work)
	starts := append(append([]time.Time{}, s.starts[low]...), s.floors[low]...)
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	starts = append(starts, s.now)
	var waits [][2]time.Time
	for _, j := range s.jobs {
		if j.req.Tier != low || !j.req.Arrived.Before(s.now) {
			continue
		}
		end := s.now
		if !j.begun.IsZero() {
			end = j.begun
		} else if j.over {
			end = j.ended
		}
		waits = append(waits, [2]time.Time{j.req.Arrived, end})
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i][0].Before(waits[j][0]) })
	var gap time.Duration
	prev, next := simStart, 0
	for _, t := range starts {
		// Within prev..t nothing started: find the longest stretch in which something waited throughout.
		var from, until time.Time
		for next < len(waits) && waits[next][0].Before(t) {
			next++
		}
		for _, w := range waits[max(0, next-400):next] {
			a, b := w[0], w[1]
			if a.Before(prev) {
				a = prev
			}
			if b.After(t) {
				b = t
			}
			if !a.Before(b) {
				continue
			}
			if from.IsZero() || a.After(until) {
				from, until = a, b
			} else if b.After(until) {
				until = b
			}
			gap = max(gap, until.Sub(from))
		}
		prev = t
	}
	return gap
}

// possible reports whether an idle engine could give the whole answer before the deadline.
func (j *simJob) possible() bool {
	return time.Duration(j.req.PromptTokens)*simPrefill+time.Duration(j.length)*simInterval < j.req.Deadline.Sub(j.req.Arrived)
}

// fairness compares the work that each organisation got with its max-min fair share of what its class got.
func (s *sim) fairness() (worst float64, who string) {
	worst = 1
	for tier := 1; tier <= len(s.d.work); tier++ {
		demand, got := make([]float64, len(s.d.offers)), make([]float64, len(s.d.offers))
		var total float64
		for _, j := range s.jobs {
			if j.req.Tier != tier || !j.over && j.engine == nil || !j.possible() {
				continue
			}
			var org int
			_, _ = fmt.Sscanf(j.req.Organisation, "org-%d", &org)
			w := queue.Work(j.req.PromptTokens, float64(j.length))
			demand[org] += w
			switch {
			case !j.over:
				// What runs at the end counts as far as it is.
				w = queue.Work(j.req.PromptTokens, float64(j.from+j.output))
				got[org] += w
				total += w
			case j.completed:
				got[org] += w
				total += w
			}
		}
		for org, fair := range fairShares(demand, total) {
			if fair > 0 && got[org]/fair < worst {
				worst, who = got[org]/fair, fmt.Sprintf("org-%d tier %d (fair %.0f, got %.0f, asked %.0f)", org, tier, fair, got[org], demand[org])
			}
		}
	}
	return worst, who
}

// fairShares divides total so that nobody gets more than asked and the least is as much as can be.
func fairShares(demand []float64, total float64) []float64 {
	out := make([]float64, len(demand))
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return demand[order[i]] < demand[order[j]] })
	for i, org := range order {
		out[org] = min(demand[org], total/float64(len(order)-i))
		total -= out[org]
	}
	return out
}

// recovery returns the time after the first fault until the top tier's attainment, by windows of 10 s,
// is back at 95% of what it was before, for three windows in a row.
func (s *sim) recovery() time.Duration {
	const window, inRow = 10 * time.Second, 3
	n := int(s.now.Sub(simStart) / window)
	met, all := make([]float64, n+1), make([]float64, n+1)
	for _, j := range s.jobs {
		if j.req.Tier != 1 || !j.over {
			continue
		}
		i := int(j.req.Arrived.Sub(simStart) / window)
		all[i]++
		if s.met(j) {
			met[i]++
		}
	}
	first, row := int(simFaultBegin/window), 0
	var before, of float64
	for i := range min(first, n) {
		before += met[i]
		of += all[i]
	}
	for i := first; i < n; i++ {
		row++
		if met[i] < 0.95*all[i]*before/of {
			row = 0
		}
		if row == inRow {
			return time.Duration(i+1-inRow-first) * window
		}
	}
	return time.Duration(n-first) * window
}

func (o *outcome) String() string {
	return fmt.Sprintf("attained %.3f goodput %.0f/s wasted %.4f gap %s worst %.3f %s recovery %s preempts %d shed for lower %d",
		o.attained, o.goodput, o.wasted, o.gap, o.worst, o.worstWho, o.recovery, o.preempts, len(o.shed))
}
