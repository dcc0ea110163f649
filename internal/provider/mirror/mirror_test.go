package mirror_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
)

// script answers calls in turn; the last answer to each kind of call stays.
type script struct {
	lists, changes []answer
	calls          []string
	doubts         int
}

type answer struct {
	version string
	objects int
	err     error
	after   time.Duration
}

func next(l *[]answer) answer {
	a := (*l)[0]
	if len(*l) > 1 {
		*l = (*l)[1:]
	}
	return a
}

func (s *script) List(context.Context, string) ([]store.Object, string, error) {
	s.calls = append(s.calls, "list")
	a := next(&s.lists)
	return make([]store.Object, a.objects), a.version, a.err
}

func (s *script) Changes(ctx context.Context, _, version string, _ time.Duration) ([]store.Event, string, error) {
	s.calls = append(s.calls, "from "+version)
	a := next(&s.changes)
	select {
	case <-time.After(max(a.after, time.Millisecond)):
	case <-ctx.Done():
		return nil, "", ctx.Err()
	}
	return make([]store.Event, a.objects), a.version, a.err
}

func (s *script) MarkStale() { s.doubts++ }

// follow runs a mirror of s for d and returns what it told.
func follow(s *script, d time.Duration, meanwhile func(*mirror.Mirror)) []mirror.Update {
	var told []mirror.Update
	m := mirror.New(s, "servers", 2*time.Second, time.Minute, func(u mirror.Update) { told = append(told, u) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go m.Run(ctx, done)
	meanwhile(m)
	time.Sleep(d)
	cancel()
	<-done
	return told
}

func quiet(*mirror.Mirror) {}

func TestExpiredHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists:   []answer{{version: "5", objects: 2}, {version: "9", objects: 3}},
			changes: []answer{{err: &store.Error{Reason: store.Expired}}, {version: "9", after: time.Second}},
		}
		told := follow(s, 2*time.Second, quiet)
		if len(told) < 2 || !told[1].Full || told[1].Version != "9" {
			t.Fatalf("told %+v; want a second list at version 9", told)
		}
	})
}

func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := answer{err: errors.New("no answer")}
		s := &script{
			lists:   []answer{{version: "5"}, down, down, {version: "7", objects: 1}},
			changes: []answer{down, {version: "7", after: time.Second}},
		}
		told := follow(s, 3*time.Second, quiet)
		failed := 0
		for _, u := range told {
			if u.Err != nil {
				failed++
			}
		}
		if failed != 3 || told[len(told)-1].Version != "7" {
			t.Fatalf("told %+v; want three failures and then version 7", told)
		}
	})
}

func TestOlderAnswerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists:   []answer{{version: "5"}, {version: "8"}},
			changes: []answer{{version: "8"}, {version: "6"}, {version: "8", after: time.Second}},
		}
		for _, u := range follow(s, 2*time.Second, quiet) {
			if u.Version == "6" {
				t.Fatal("told of version 6 after version 8")
			}
		}
	})
}

func TestPokeCatchesUpAtOnce(t *testing.T) {
	tests := map[string]struct {
		// caughtUp answers the call that follows the word of a change.
		caughtUp answer
		calls    []string
		version  string
	}{
		"by the changes, if the store tells them": {
			answer{version: "6", objects: 1}, []string{"list", "from 5", "from 5", "from 6"}, "6",
		},
		"by a list, if the store tells no changes": {
			answer{version: "5"}, []string{"list", "from 5", "from 5", "list", "from 7"}, "7",
		},
		"by a list, if the history is gone": {
			answer{err: &store.Error{Reason: store.Expired}}, []string{"list", "from 5", "from 5", "list", "from 7"}, "7",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				never := answer{after: time.Hour}
				s := &script{lists: []answer{{version: "5"}, {version: "7"}}, changes: []answer{never, test.caughtUp, never}}
				told := follow(s, 100*time.Millisecond, func(m *mirror.Mirror) {
					synctest.Wait()
					m.Refresh()
				})
				if !slices.Equal(s.calls, test.calls) {
					t.Fatalf("calls %q, want %q", s.calls, test.calls)
				}
				if len(told) != 2 || told[1].Version != test.version {
					t.Fatalf("told %+v; want version %s at once", told, test.version)
				}
				if s.doubts != 1 {
					t.Fatalf("the source was doubted %d times, want once: its copies are behind", s.doubts)
				}
			})
		})
	}
}

// copied is a source that has what it tells from a copy.
type copied struct{ *script }

func (copied) Direct() bool { return false }

func TestOnlyTheStoreIsListedAgain(t *testing.T) {
	tests := map[string]struct {
		source func(*script) mirror.Source
		lists  int
	}{
		"a follower of the store lists each minute":    {func(s *script) mirror.Source { return s }, 3},
		"a follower of a copy hears of what it missed": {func(s *script) mirror.Source { return copied{s} }, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{lists: []answer{{version: "5"}}, changes: []answer{{version: "5", after: time.Second}}}
				m := mirror.New(test.source(s), "servers", 2*time.Second, time.Minute, func(mirror.Update) {})
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error)
				go m.Run(ctx, done)
				time.Sleep(150 * time.Second)
				cancel()
				<-done
				lists := 0
				for _, c := range s.calls {
					if c == "list" {
						lists++
					}
				}
				if lists != test.lists {
					t.Fatalf("%d lists in 150 s, want %d", lists, test.lists)
				}
			})
		})
	}
}
