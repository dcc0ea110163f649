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

	"shallotramp/internal/ops/chart"
)

// seedsPerPair is how many seeds each single fault and each pair of faults gets.
const seedsPerPair = 16

// worldConfig has few shards, so that keys share them, and an interleaving in each.
func worldConfig() Config {
	cfg := DefaultConfig()
	cfg.Shards = 2
	return cfg
}

func TestEachCallRunsAtMostOnce(t *testing.T) {
	taken := map[chart.Transition[State, Event]]bool{}
	seeds, verdicts := uint64(0), map[Verdict]int{}
	for a := range faultCount {
		for b := a; b < faultCount; b++ {
			for range seedsPerPair {
				seeds++
				w := newWorld(seeds, worldConfig(), a, b)
				w.run(faultyTime + time.Minute)
				if problems := w.judge(); len(problems) > 0 {
					t.Fatalf("seed %d, %s, %s:\n%s", seeds, faultNames[a], faultNames[b], strings.Join(problems, "\n"))
				}
				maps.Copy(taken, w.taken)
				for _, s := range w.sent {
					if s.told {
						verdicts[s.verdict]++
					}
				}
			}
		}
	}
	t.Logf("%d seeds: %v", seeds, verdicts)
	for _, tr := range Chart().Transitions() {
		if !taken[tr] {
			t.Errorf("no seed took %s %s %s", tr.From, tr.Event, tr.To)
		}
	}
	for _, v := range []Verdict{Replay, MayHaveRun, NeverRan, Unasked, OtherPrint} {
		if verdicts[v] == 0 {
			t.Errorf("no caller was told %s", v)
		}
	}
}

func TestTheWorldCatchesBrokenClaims(t *testing.T) {
	tests := map[string]struct {
		broken defect
		faults []fault
	}{
		"a call sent before its claim is confirmed":            {sendWithoutConfirmation, []fault{platformAnswersLost, platformSlow}},
		"writes that ignore the version":                       {unconditionalWrites, []fault{platformSlow}},
		"a refusal as not run that the platform did not prove": {refusalWithoutProof, []fault{queueRefuses, staleReads}},
		"a call sent without a claim":                          {sendWithoutClaim, []fault{hostsPause}},
		"a claim released although it was sent":                {releaseAfterSending, []fault{serviceAnswersLost}},
	}
	for what, tt := range tests {
		t.Run(what, func(t *testing.T) {
			for seed := range uint64(300) {
				w := newWorld(seed, worldConfig(), tt.faults...)
				w.broken = tt.broken
				w.run(faultyTime + time.Minute)
				if len(w.judge()) > 0 {
					return
				}
			}
			t.Error("the defect was never seen")
		})
	}
}

// judge returns what is wrong with a history.
func (w *world) judge() []string {
	out := append([]string{}, w.problems...)
	for key := range worldKeys {
		runs := w.runs[key]
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("key %d ran %d times: %v", key, len(runs), runs))
		}
		var ops []porcupine.Operation
		for _, s := range w.sent {
			if s.key != key {
				continue
			}
			if s.told && s.verdict == Replay && (len(runs) == 0 || s.body != runs[0].body) {
				out = append(out, fmt.Sprintf("%s was answered %q; runs %v", s.id, s.body, runs))
			}
			if s.told && s.verdict == NeverRan && len(runs) > 0 && runs[0].at < s.call {
				out = append(out, fmt.Sprintf("%s was told not run at %v; runs %v", s.id, s.end, runs))
			}
			ops = append(ops, operation(s, w.now))
		}
		if !porcupine.CheckOperations(registerModel(), ops) {
			out = append(out, fmt.Sprintf("key %d is not linearizable: %v", key, describe(w, key)))
		}
	}
	return out
}

func describe(w *world, key int) string {
	var b strings.Builder
	for _, s := range w.sent {
		if s.key == key {
			fmt.Fprintf(&b, "\n  %s %v-%v told %v %s %q", s.id, s.call, s.end, s.told, s.verdict, s.body)
		}
	}
	fmt.Fprintf(&b, "\n  runs %v", w.runs[key])
	return b.String()
}

// outcome is what a caller learned; a caller without an answer learned that the call may have run.
type outcome struct {
	verdict Verdict
	body    string
}

func operation(s *sending, end time.Duration) porcupine.Operation {
	o := outcome{MayHaveRun, ""}
	ret := int64(math.MaxInt64)
	if s.told {
		o, ret = outcome{s.verdict, s.body}, int64(s.end)
	}
	if s.end > end {
		ret = int64(end)
	}
	return porcupine.Operation{ClientId: s.client, Input: string(s.id), Output: o, Call: int64(s.call), Return: ret}
}

// registerModel is the register of one key: empty until the call runs, which it does once.
func registerModel() porcupine.Model {
	const empty, ranUnseen = "", "?"
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{empty} },
		Step: func(state, _, output any) []any {
			s, o := state.(string), output.(outcome)
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

func TestTimeEndsOneRequestWhileAnotherPolls(t *testing.T) {
	cfg := worldConfig()
	c := NewCore(cfg, "h1", rand.New(rand.NewPCG(1, 1)))
	now := clock(0)
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
		t.Errorf("got %+v, want r2 told that the platform could not be asked", effects)
	}
}

func TestContentBounds(t *testing.T) {
	cfg := DefaultConfig()
	now := clock(0)
	answer := Reply{Status: 201, Header: map[string]string{"Content-Type": "application/json"}, Body: make([]byte, 4<<10)}
	c := Content{Entries: map[Key]Entry{}}
	for i := range 200 {
		e := Entry{Print: FingerprintOf("POST", "/bookings/", nil), Attempt: strings.Repeat("x", 60), At: now.Add(-time.Duration(i) * time.Second), Phase: Closed, Reply: answer}
		c.Entries[KeyOf("org", "bookings", fmt.Sprint(i))] = e
	}
	b, err := json.Marshal(c)
	if err != nil || c.size() < len(b) {
		t.Fatalf("estimated %d bytes for %d, %v", c.size(), len(b), err)
	}
	if !c.shrink(cfg.MaxShardBytes) || c.size() > cfg.MaxShardBytes || len(c.Entries) != 200 {
		t.Errorf("%d entries of %d bytes after the answers were dropped", len(c.Entries), c.size())
	}
	if newest := c.Entries[KeyOf("org", "bookings", "0")]; newest.Reply.Dropped {
		t.Error("the newest answer went before older ones")
	}
	if c.shrink(100*entryBytes) || len(c.Entries) != 200 {
		t.Error("a full shard must refuse and keep its claims")
	}
	c.prune(now.Add(cfg.ReplyRetention+cfg.MaxClockSkew+time.Minute), cfg)
	for k, e := range c.Entries {
		if !e.Reply.Dropped {
			t.Fatalf("the answer of %s is kept too long", k)
		}
	}
	c.prune(now.Add(cfg.Retention), cfg)
	if len(c.Entries) != 200 {
		t.Error("claims were dropped before their retention ended")
	}
	c.prune(now.Add(cfg.Retention+cfg.MaxClockSkew+time.Second), cfg)
	if len(c.Entries) != 0 {
		t.Errorf("%d claims are kept past their retention", len(c.Entries))
	}
}
