package claim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"shallotramp/internal/ops/statechart"
)

// seedsPerFaultPair is the number of seeds for each single fault and each pair of faults.
const seedsPerFaultPair = 16

// simulationConfig has only two shards, so that several keys share one and their operations interleave.
func simulationConfig() Config {
	cfg := DefaultConfig()
	cfg.Shards = 2
	return cfg
}

// A resend after a lost response, a pause or a crash must not run the call a second time, and its answer must
// agree with what ran. The simulation injects each pair of faults and must cover all state transitions.
func TestEachCallRunsAtMostOnce(t *testing.T) {
	transitions := map[statechart.Transition[State, Event]]bool{}
	seeds, verdicts := uint64(0), map[Verdict]int{}
	for a := range faultCount {
		for b := a; b < faultCount; b++ {
			for range seedsPerFaultPair {
				seeds++
				sim := newSimulation(seeds, simulationConfig(), a, b)
				sim.run(faultPeriod + time.Minute)
				if problems := sim.check(); len(problems) > 0 {
					t.Fatalf("seed %d, %s, %s:\n%s", seeds, faultNames[a], faultNames[b], strings.Join(problems, "\n"))
				}
				maps.Copy(transitions, sim.transitions)
				for _, req := range sim.requests {
					if req.answered {
						verdicts[req.verdict]++
					}
				}
			}
		}
	}
	t.Logf("%d seeds: %v", seeds, verdicts)
	for _, tr := range Chart().Transitions() {
		if !transitions[tr] {
			t.Errorf("no seed made the transition %s %s %s", tr.From, tr.Event, tr.To)
		}
	}
	for _, v := range []Verdict{Replay, MayHaveRun, NeverRan, Unasked, OtherPrint} {
		if verdicts[v] == 0 {
			t.Errorf("no caller got the verdict %s", v)
		}
	}
}

// The checks of the simulation must detect each known way to break the protocol; a check that passes a broken
// protocol proves nothing.
func TestSimulationDetectsProtocolDefects(t *testing.T) {
	tests := map[string]struct {
		defect defect
		faults []fault
	}{
		"a call sent before its claim is confirmed":                {sendWithoutConfirmation, []fault{storeResponsesLost, storeSlow}},
		"writes that ignore the version":                           {unconditionalWrites, []fault{storeSlow}},
		"a request refused as not run without a confirmed release": {refusalWithoutProof, []fault{queueRefuses, staleReads}},
		"a call sent without a claim":                              {sendWithoutClaim, []fault{hostsPause}},
		"a claim released although it was sent":                    {releaseAfterSending, []fault{serverResponsesLost}},
	}
	for what, tt := range tests {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(300) {
				sim := newSimulation(seed, simulationConfig(), tt.faults...)
				sim.defect = tt.defect
				sim.run(faultPeriod + time.Minute)
				if len(sim.check()) > 0 {
					return
				}
			}
			t.Error("no seed detected the defect")
		})
	}
}

// check returns the problems of the recorded history.
func (sim *simulation) check() []string {
	out := append([]string{}, sim.problems...)
	for key := range simulatedKeys {
		runs := sim.runs[key]
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("key %d ran %d times: %v", key, len(runs), runs))
		}
		var ops []porcupine.Operation
		for _, req := range sim.requests {
			if req.key != key {
				continue
			}
			if req.answered && req.verdict == Replay && (len(runs) == 0 || req.body != runs[0].body) {
				out = append(out, fmt.Sprintf("%s was answered %q; runs %v", req.id, req.body, runs))
			}
			if req.answered && req.verdict == NeverRan && len(runs) > 0 && runs[0].at < req.begun {
				out = append(out, fmt.Sprintf("%s got NeverRan at %v; runs %v", req.id, req.end, runs))
			}
			ops = append(ops, observedOperation(req, sim.now))
		}
		if !porcupine.CheckOperations(registerModel(), ops) {
			out = append(out, fmt.Sprintf("key %d is not linearizable: %v", key, describeHistory(sim, key)))
		}
	}
	return out
}

func describeHistory(sim *simulation, key int) string {
	var b strings.Builder
	for _, req := range sim.requests {
		if req.key == key {
			fmt.Fprintf(&b, "\n  %s %v-%v answered %v %s %q", req.id, req.begun, req.end, req.answered, req.verdict, req.body)
		}
	}
	fmt.Fprintf(&b, "\n  runs %v", sim.runs[key])
	return b.String()
}

// observation is what a caller observed. A caller without a response observes that the call may have run.
type observation struct {
	verdict Verdict
	body    string
}

func observedOperation(req *clientRequest, end time.Duration) porcupine.Operation {
	o := observation{MayHaveRun, ""}
	ret := int64(math.MaxInt64)
	if req.answered {
		o, ret = observation{req.verdict, req.body}, int64(req.end)
	}
	if req.end > end {
		ret = int64(end)
	}
	return porcupine.Operation{ClientId: req.client, Input: string(req.id), Output: o, Call: int64(req.begun), Return: ret}
}

// registerModel models one key as a register that is empty until the call runs, and is written once.
func registerModel() porcupine.Model {
	const empty, ranUnseen = "", "?"
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{empty} },
		Step: func(state, _, output any) []any {
			s, o := state.(string), output.(observation)
			switch o.verdict {
			case Replay:
				if s == empty || s == ranUnseen || s == o.body {
					return []any{o.body}
				}
				return nil
			case Ran:
				if s == empty {
					return []any{ranUnseen}
				}
				return []any{s}
			case NeverRan:
				if s == empty {
					return []any{s}
				}
				return nil
			case MayHaveRun, Unasked:
				if s == empty {
					return []any{empty, ranUnseen}
				}
			}
			return []any{s}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// Tick polls the waiting requests in turn. The poll of r1 expires the lookup of r2 on the same shard and so ends
// r2 while Tick iterates.
func TestTimeEndsOneRequestWhileAnotherPolls(t *testing.T) {
	cfg := simulationConfig()
	c := NewCore(cfg, "h1", rand.New(rand.NewPCG(1, 1)))
	now := timeAt(0)
	a := Request{ID: "r1", Key: KeyOf("org", "bookings", "1"), Fingerprint: "a", Deadline: now.Add(time.Minute)}
	shard := a.Key.shard(cfg.Shards)
	c.Begin(now, a)
	open := Content{Entries: map[Key]Entry{a.Key: {Print: "a", Attempt: "h0/r0"}}}
	c.ReadDone(now, shard, open, "1", true)
	a.ID, a.Deadline = "r2", now.Add(cfg.PollDelay)
	c.Begin(now, a)
	c.ReadDone(now, shard, Content{}, "", false)
	effects := c.Tick(now.Add(cfg.PollDelay))
	if len(effects) == 0 || effects[0].Kind != Tell || effects[0].ID != "r2" || effects[0].Verdict != Unasked {
		t.Errorf("got %+v, want r2 ended as Unasked", effects)
	}
}

func TestContentBounds(t *testing.T) {
	cfg := DefaultConfig()
	now := timeAt(0)
	reply := Reply{Status: 201, Header: map[string]string{"Content-Type": "application/json"}, Body: make([]byte, 4<<10)}
	c := Content{Entries: map[Key]Entry{}}
	for i := range 200 {
		e := Entry{Print: FingerprintOf("POST", "/bookings/", nil), Attempt: strings.Repeat("x", 60), At: now.Add(-time.Duration(i) * time.Second), Phase: Closed, Reply: reply}
		c.Entries[KeyOf("org", "bookings", fmt.Sprint(i))] = e
	}
	b, err := json.Marshal(c)
	if err != nil || c.size() < len(b) {
		t.Fatalf("estimated %d bytes for %d, %v", c.size(), len(b), err)
	}
	if !c.dropReplies(cfg.MaxShardBytes) || c.size() > cfg.MaxShardBytes || len(c.Entries) != 200 {
		t.Errorf("%d entries of %d bytes after the replies were dropped", len(c.Entries), c.size())
	}
	if newest := c.Entries[KeyOf("org", "bookings", "0")]; newest.Reply.Dropped {
		t.Error("the newest reply was dropped before older ones")
	}
	if c.dropReplies(100*maxEntryBytes) || len(c.Entries) != 200 {
		t.Error("dropReplies must report that a full shard is too large, and keep its entries")
	}
	c.dropExpired(now.Add(cfg.ReplyRetention+cfg.MaxClockSkew+time.Minute), cfg)
	for k, e := range c.Entries {
		if !e.Reply.Dropped {
			t.Fatalf("the reply of %s is kept past its retention", k)
		}
	}
	c.dropExpired(now.Add(cfg.Retention), cfg)
	if len(c.Entries) != 200 {
		t.Error("entries were dropped before their retention ended")
	}
	c.dropExpired(now.Add(cfg.Retention+cfg.MaxClockSkew+time.Second), cfg)
	if len(c.Entries) != 0 {
		t.Errorf("%d entries are kept past their retention", len(c.Entries))
	}
}
