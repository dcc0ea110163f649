package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// preemptionBudgetShare limits the work that preemption wastes, as a share of all work done.
const preemptionBudgetShare = 0.01

// addVictim adds a running attempt to the preemption candidates if its class allows preemption and
// its answer can be resumed, so that the tokens generated so far are not lost.
func (p *Policy) addVictim(e *entry) {
	c := p.snap.Set.Classes[e.req.Class]
	if c != nil && c.Preemptible && e.req.Idempotent && e.req.Streaming {
		e.pool.victims.Push(e)
	}
}

func (p *Policy) removeVictim(e *entry) {
	if e.victimIndex >= 0 {
		e.pool.victims.Remove(e.victimIndex)
	}
	if e.preempting {
		e.preempting = false
		e.pool.pendingPreemptions--
	}
}

// preempt cancels running requests of lower tiers in favour of waiting requests that find no free slot.
func (p *Policy) preempt(_ time.Time, pl *pool) []dispatch.Effect {
	var out []dispatch.Effect
	need := -pl.pendingPreemptions
	for _, c := range pl.q.Classes() {
		need += c.Waiting()
		for need > 0 && pl.victims.Len() > 0 {
			e := pl.victims.Peek()
			victimClass := pl.q.Class(e.req.Class)
			atFloor := float64(victimClass.Running+victimClass.PeerRunning) <= victimClass.Floor*float64(p.slots(pl))
			if e.req.Tier <= c.Tier || atFloor || e.preemptionCost() > pl.preemptionBudget {
				return out
			}
			pl.preemptionBudget -= e.preemptionCost()
			pl.victims.Remove(e.victimIndex)
			e.preempting = true
			pl.pendingPreemptions++
			need--
			out = append(out, dispatch.Effect{Kind: dispatch.Preempt, ID: e.req.ID, Server: e.server, Why: "a higher tier needs its slot"})
		}
	}
	return out
}
