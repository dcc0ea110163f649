package scheduler

import (
	"fmt"
	"testing"
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// TestPartThatCrashesServers guards against requests with one part in their prompts that crash server after server, each
// with another content and at another host, and against the refusal of sound requests that share the rest with them.
func TestPartThatCrashesServers(t *testing.T) {
	const (
		common = 1
		bad    = 2
	)
	var hosts []*Policy
	for range 3 {
		p, _ := newSmallPolicy(t, nil)
		hosts = append(hosts, p)
	}
	now, last := simStart, 0
	// send sends a request with the shared parts to a host and ends its attempt. It returns the decision about it.
	send := func(host int, outcome request.Outcome, parts ...uint64) dispatch.Effect {
		last++
		r := newRequest(fmt.Sprint("r", last), "chat", 1)
		r.Arrived, r.Deadline, r.Fingerprint, r.Idempotent = now, now.Add(20*time.Second), uint64(last), false
		for _, id := range parts {
			r.Parts = append(r.Parts, request.Part{ID: id, Tokens: 100})
		}
		r.Parts = append(r.Parts, request.Part{ID: uint64(1000 + last), Tokens: 10})
		effects := hosts[host].Arrive(now, r)
		if len(effects) == 0 || effects[0].ID != r.ID {
			t.Fatalf("request %s: %+v", r.ID, effects)
		}
		e := effects[0]
		now = now.Add(100 * time.Millisecond)
		if e.Kind == dispatch.Start {
			res := request.Result{ID: r.ID, Server: e.Server, Outcome: outcome}
			if outcome == request.Completed {
				res.Delivered = 1
			}
			hosts[host].Finish(now, res)
		}
		return e
	}
	exchange := func() {
		now = now.Add(2 * time.Second)
		for i, p := range hosts {
			p.Tick(now)
			state := p.State(now)
			state.Host = fmt.Sprint("host-", i)
			for j, o := range hosts {
				if j != i {
					o.Peer(now, state)
				}
			}
		}
	}
	for i := range hosts {
		send(i, request.Completed, common)
		if e := send(i, request.Broken, common, bad); e.Kind != dispatch.Start {
			t.Fatalf("host %d: %+v", i, e)
		}
		exchange()
	}
	exchange()
	for i := range hosts {
		if e := send(i, request.Completed, common, bad); e.Kind != dispatch.Refuse || e.Reason != dispatch.CrashSuspect || e.Ran != request.NotRun {
			t.Errorf("host %d, a request with the part: %+v", i, e)
		}
		for range 5 {
			if e := send(i, request.Completed, common); e.Kind != dispatch.Start {
				t.Errorf("host %d, a request without the part: %+v", i, e)
			}
		}
	}
}
