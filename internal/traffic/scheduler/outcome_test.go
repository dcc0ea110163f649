package scheduler

import (
	"fmt"
	"sort"
	"time"

	"shallotramp/internal/traffic/queue"
)

// outcome holds the measurements of a simulation run.
type outcome struct {
	// attained is the share of offered requests that met their latency targets, by tier from 1.
	attained []float64
	// goodput counts output tokens per second of requests that met their targets.
	goodput float64
	// wasted is the share of the generated tokens that were of no use.
	wasted float64
	// longestGap is the longest time for which the lowest class had requests waiting and none started.
	longestGap time.Duration
	// worstShare is the smallest ratio, over organisations and classes, of work done to the fair
	// share of work. worstOrg describes the organisation.
	worstShare     float64
	worstOrg       string
	recovery       time.Duration
	preemptions    int
	shedViolations []string
}

func (s *sim) metTargets(j *simJob) bool {
	if !j.completed || j.firstToken.Sub(j.req.Arrived) > time.Duration(j.workload.spec.FirstToken) {
		return false
	}
	if b := time.Duration(j.workload.spec.BetweenTokens); b > 0 && j.length > 1 {
		return j.endedAt.Sub(j.firstToken)/time.Duration(j.length-1) <= b
	}
	return true
}

// fullyObserved reports whether the run covered all the time in which j could meet its targets.
func (s *sim) fullyObserved(j *simJob) bool {
	if j.done {
		return true
	}
	return !j.firstToken.IsZero() && s.now.Sub(j.req.Arrived) > j.req.Deadline.Sub(j.req.Arrived)
}

func (s *sim) measure() *outcome {
	o := &outcome{attained: make([]float64, len(s.deployment.workloads)), preemptions: s.preemptions, shedViolations: s.violations}
	offered, met := make([]float64, len(s.deployment.workloads)), make([]float64, len(s.deployment.workloads))
	var good, wasted int
	for _, j := range s.jobs {
		wasted += j.wastedTokens
		if j.done && !j.completed {
			// An incomplete answer is of no use, even if part of it was delivered.
			wasted += j.delivered
		}
		if !s.fullyObserved(j) && s.now.Sub(j.req.Arrived) < time.Duration(j.workload.spec.FirstToken) || !j.firstToken.IsZero() && !j.done {
			continue
		}
		offered[j.req.Tier-1]++
		if s.metTargets(j) {
			met[j.req.Tier-1]++
			good += j.length
		}
	}
	for i := range offered {
		o.attained[i] = met[i] / offered[i]
	}
	o.goodput = float64(good) / s.now.Sub(simStart).Seconds()
	o.wasted = float64(wasted) / float64(max(1, s.outputTokens))
	o.longestGap = s.lowestGap()
	o.worstShare, o.worstOrg = s.fairness()
	o.recovery = s.recovery()
	return o
}

// lowestGap returns the longest time between starts of the lowest class during which one of its requests waited.
func (s *sim) lowestGap() time.Duration {
	lowestTier := len(s.deployment.workloads)
	starts := append(append([]time.Time{}, s.startsByTier[lowestTier]...), s.floorStartsByTier[lowestTier]...)
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	starts = append(starts, s.now)
	var waits [][2]time.Time
	for _, j := range s.jobs {
		if j.req.Tier != lowestTier || !j.req.Arrived.Before(s.now) {
			continue
		}
		end := s.now
		if !j.firstStart.IsZero() {
			end = j.firstStart
		} else if j.done {
			end = j.endedAt
		}
		waits = append(waits, [2]time.Time{j.req.Arrived, end})
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i][0].Before(waits[j][0]) })
	var gap time.Duration
	prev, next := simStart, 0
	for _, t := range starts {
		// Nothing started from prev to t: find the longest time without a break in which a request waited.
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

// feasible reports whether an idle engine could complete the answer before the deadline.
func (j *simJob) feasible() bool {
	return time.Duration(j.req.PromptTokens)*simPrefillPerToken+time.Duration(j.length)*simTokenInterval < j.req.Deadline.Sub(j.req.Arrived)
}

// fairness compares the work done for each organisation with its max-min fair share of the work done
// for the class. It returns the smallest ratio and describes the organisation.
func (s *sim) fairness() (worst float64, who string) {
	worst = 1
	for tier := 1; tier <= len(s.deployment.workloads); tier++ {
		demand, received := make([]float64, len(s.deployment.demandWeights)), make([]float64, len(s.deployment.demandWeights))
		var total float64
		for _, j := range s.jobs {
			if j.req.Tier != tier || !j.done && j.engine == nil || !j.feasible() {
				continue
			}
			var org int
			_, _ = fmt.Sscanf(j.req.Organisation, "org-%d", &org)
			w := queue.Work(j.req.PromptTokens, float64(j.length))
			demand[org] += w
			switch {
			case !j.done:
				// A request that still runs at the end counts with its work so far.
				w = queue.Work(j.req.PromptTokens, float64(j.resumedFrom+j.attemptOutput))
				received[org] += w
				total += w
			case j.completed:
				received[org] += w
				total += w
			}
		}
		for org, fair := range maxMinShares(demand, total) {
			if fair > 0 && received[org]/fair < worst {
				worst, who = received[org]/fair, fmt.Sprintf("org-%d tier %d (fair %.0f, got %.0f, asked %.0f)", org, tier, fair, received[org], demand[org])
			}
		}
	}
	return worst, who
}

// maxMinShares divides total so that no share exceeds its demand and the smallest share is as large as possible.
func maxMinShares(demand []float64, total float64) []float64 {
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

// recovery returns the time from the first fault until the top tier's share of requests within their
// targets is back at 95% of its value before the fault, for three windows of 10 s in a row.
func (s *sim) recovery() time.Duration {
	const window, inRow = 10 * time.Second, 3
	n := int(s.now.Sub(simStart) / window)
	met, all := make([]float64, n+1), make([]float64, n+1)
	for _, j := range s.jobs {
		if j.req.Tier != 1 || !j.done {
			continue
		}
		i := int(j.req.Arrived.Sub(simStart) / window)
		all[i]++
		if s.metTargets(j) {
			met[i]++
		}
	}
	first, row := int(simFaultStart/window), 0
	var metBefore, allBefore float64
	for i := range min(first, n) {
		metBefore += met[i]
		allBefore += all[i]
	}
	for i := first; i < n; i++ {
		row++
		if met[i] < 0.95*all[i]*metBefore/allBefore {
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
		o.attained, o.goodput, o.wasted, o.longestGap, o.worstShare, o.worstOrg, o.recovery, o.preemptions, len(o.shedViolations))
}
