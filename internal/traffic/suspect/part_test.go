package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"shallotramp/internal/traffic/suspect"
)

// TestHeldParts guards against a tracker that blames the wrong part of a prompt for crashes of servers.
func TestHeldParts(t *testing.T) {
	const common, other, bad, third = 1, 2, 3, 4
	start := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	crash := func(s float64, parts ...uint64) func(*suspect.PartTracker) {
		return func(tr *suspect.PartTracker) {
			tr.AddCrash(at(s), suspect.PartCrash{Server: fmt.Sprint("i-", s), At: at(s), Parts: parts})
		}
	}
	answer := func(s float64, parts ...uint64) func(*suspect.PartTracker) {
		return func(tr *suspect.PartTracker) { tr.AddAnswers(at(s), parts) }
	}
	report := func(s float64, part uint64) func(*suspect.PartTracker) {
		return func(tr *suspect.PartTracker) { tr.Merge(at(s), nil, []suspect.PartAnswer{{Part: part, At: at(s)}}) }
	}
	type steps []func(*suspect.PartTracker)
	tests := map[string]struct {
		steps steps
		// request has the parts of the request that is checked 1 s after the last step, or after wait if that is set.
		request []uint64
		wait    time.Duration
		held    bool
		// trials is set if some such requests may run.
		trials bool
	}{
		"two crashes do not hold a part": {
			steps{answer(1, common), crash(2, common, bad), crash(3, common, bad)}, []uint64{common, bad}, 0, false, false,
		},
		"three crashes hold a part that no server has answered": {
			steps{answer(1, common), crash(2, common, bad), crash(3, common, bad), crash(4, common, bad)}, []uint64{common, bad}, 0, true, false,
		},
		"a part beside it that servers answer is not held": {
			steps{answer(1, common), crash(2, common, bad), crash(3, common, bad), crash(4, common, bad)}, []uint64{common, other}, 0, false, false,
		},
		"crashes at the same moment count once": {
			steps{crash(2, bad), crash(2.01, bad), crash(2.02, bad), crash(2.03, bad)}, []uint64{bad}, 0, false, false,
		},
		"an answer clears a part of earlier crashes": {
			steps{crash(2, bad), crash(3, bad), answer(3.5, bad), crash(4, bad)}, []uint64{bad}, 0, false, false,
		},
		"an answer of another host clears a part": {
			steps{crash(2, bad), crash(3, bad), crash(4, bad), report(4.5, bad)}, []uint64{bad}, 0, false, false,
		},
		"an answer sent on by other hosts does not clear a crash shortly after it": {
			steps{
				answer(1, bad), report(1.3, bad), crash(1.2, bad), report(1.4, bad), crash(2, bad), crash(3, bad), crash(4, bad), crash(5, bad),
			}, []uint64{bad}, 0, true, false,
		},
		"a part that servers have answered before is held after more crashes": {
			steps{answer(1, bad), crash(2, bad), crash(3, bad), crash(4, bad), crash(5, bad)}, []uint64{bad}, 0, false, false,
		},
		"and tried again after a while": {
			steps{answer(1, bad), crash(2, bad), crash(3, bad), crash(4, bad), crash(5, bad), crash(6, bad)}, []uint64{bad}, time.Minute, true, true,
		},
		"a part that no server has answered is not tried again soon": {
			steps{crash(2, bad), crash(3, bad), crash(4, bad)}, []uint64{bad}, 10 * time.Second, true, false,
		},
		"a part that no server has answered is tried again after a while": {
			steps{crash(2, bad), crash(3, bad), crash(4, bad)}, []uint64{bad}, time.Minute, true, true,
		},
		"a part that has crashed servers for long is tried again after as long": {
			steps{crash(2, bad), crash(3, bad), crash(4, bad), crash(90, bad)}, []uint64{bad}, 3 * time.Minute, true, true,
		},
		"and not before": {
			steps{crash(2, bad), crash(3, bad), crash(4, bad), crash(90, bad)}, []uint64{bad}, 2 * time.Minute, true, false,
		},
		"one of two parts that are always together is tried alone": {
			steps{crash(2, other, bad), crash(3, other, bad), crash(4, other, bad)}, []uint64{other}, 0, true, true,
		},
		"both together are not": {
			steps{crash(2, other, bad), crash(3, other, bad), crash(4, other, bad)}, []uint64{other, bad}, 0, true, false,
		},
		"requests that ran on servers which another part crashes are not blamed": {
			steps{crash(2, bad), crash(2, third), crash(3, bad), crash(3, third), crash(4, bad), crash(4, third), crash(5, bad)}, []uint64{third}, 0, false, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tr := suspect.NewPartTracker()
			for _, step := range test.steps {
				step(tr)
			}
			_, trials, held := tr.Held(at(7).Add(test.wait), test.request)
			if held != test.held || trials > 0 != test.trials {
				t.Fatalf("held %t, trials %g; want held %t, trials %t", held, trials, test.held, test.trials)
			}
		})
	}
}

// TestHostThatStartsKnowsHeldParts guards against a host that has just started and sends requests with a held part.
func TestHostThatStartsKnowsHeldParts(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	old, fresh := suspect.NewPartTracker(), suspect.NewPartTracker()
	old.AddAnswers(start, []uint64{1})
	for i := range 40 {
		at := start.Add(time.Duration(i+1) * time.Second)
		old.AddCrash(at, suspect.PartCrash{Server: fmt.Sprint("i-", i), At: at, Parts: []uint64{1, 2}})
	}
	now := start.Add(3 * time.Minute)
	crashes, answers := old.Shared(now)
	fresh.Merge(now, crashes, answers)
	for part, want := range map[uint64]bool{1: false, 2: true} {
		if _, _, held := fresh.Held(now, []uint64{part}); held != want {
			t.Errorf("part %d: held %t, want %t", part, held, want)
		}
	}
}
