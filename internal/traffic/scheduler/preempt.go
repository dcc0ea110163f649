package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
)

// preemptShare bounds the work that preemption wastes, as a share of all work.
const preemptShare = 0.01

// offerVictim notes a running attempt that may be preempted: its class allows it, and its
// answer can be resumed, so that what was generated is not lost.
func (p *Policy) offerVictim(e *entry) {
	c := p.snap.Set.Classes[e.req.Class]
	if c != nil && c.Preemptible && e.req.Idempotent && e.req.Streaming {
		e.pool.victims.Push(e)
	}
}

func (p *Policy) dropVictim(e *entry) {
	if e.victimPlace >= 0 {
		e.pool.victims.Remove(e.victimPlace)
	}
	if e.preempting {
		e.preempting = false
		e.pool.preempting--
	}
}

// preempt cancels running work of lower tiers for waiting work that finds no room.
func (p *Policy) preempt(_ time.Time, pl *pool) []dispatch.Effect {
	var out []dispatch.Effect
	need := -pl.preempting
	for _, c := range pl.q.Classes() {
		need += c.Waiting()
		for need > 0 && pl.victims.Len() > 0 {
			e := pl.victims.Peek()
			v := pl.q.Class(e.req.Class)
			atFloor := float64(v.Running+v.PeerRunning) <= v.Floor*float64(p.slots(pl))
			if e.req.Tier <= c.Tier || atFloor || e.waste() > pl.allowance {
				return out
			}
			pl.allowance -= e.waste()
			pl.victims.Remove(e.victimPlace)
			e.preempting = true
			pl.preempting++
			need--
			out = append(out, dispatch.Effect{Kind: dispatch.Preempt, ID: e.req.ID, Server: e.server, Why: "a higher tier needs its place"})
		}
	}
	return out
}
