package edgehost

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/ops/log"
	"shallotramp/internal/provider/store"
	"shallotramp/internal/traffic/route"
)

// silentWatchStore is a store whose first watch never ends, as on a connection that has fallen silent. It holds one
// object, the routing table.
type silentWatchStore struct {
	store.Store

	mu      sync.Mutex
	version int64
	silent  bool
}

func (s *silentWatchStore) publish(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

func (s *silentWatchStore) table() (store.Object, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := strconv.FormatInt(s.version, 10)
	return store.Object{Kind: "config", Name: "main", Version: at, Spec: json.RawMessage(at)}, at
}

// List implements [reflector.Source].
func (s *silentWatchStore) List(context.Context, string) ([]store.Object, string, error) {
	o, at := s.table()
	return []store.Object{o}, at, nil
}

// Changes implements [reflector.Source].
func (s *silentWatchStore) Changes(ctx context.Context, _, version string, wait time.Duration) ([]store.Event, string, error) {
	s.mu.Lock()
	first := !s.silent
	s.silent = true
	s.mu.Unlock()
	if first {
		<-ctx.Done()
		return nil, "", ctx.Err()
	}
	for end := time.Now().Add(wait); ctx.Err() == nil; sleep(ctx, 10*time.Millisecond) {
		if o, at := s.table(); at != version {
			return []store.Event{{Type: store.Modified, Object: o}}, at, nil
		} else if time.Now().After(end) {
			return nil, at, nil
		}
	}
	return nil, "", ctx.Err()
}

// TestLateConfigurationInSeries guards against a host that keeps an old configuration as long as new ones come in quick
// succession, or as long as others report different versions.
func TestLateConfigurationInSeries(t *testing.T) {
	const (
		applyTimeout   = 2 * time.Second
		packetInterval = 200 * time.Millisecond
		length         = 4 * time.Second
	)
	tests := map[string]struct {
		// newest is the version that is in force at most hosts after the given number of packets, and reported the
		// version of the host that sends this packet.
		newest, reported func(packet int64) int64
	}{
		"one change":                               {func(int64) int64 { return 2 }, func(int64) int64 { return 2 }},
		"a change with each packet":                {func(n int64) int64 { return n + 2 }, func(n int64) int64 { return n + 2 }},
		"a change with every second packet":        {func(n int64) int64 { return n/2 + 2 }, func(n int64) int64 { return n/2 + 2 }},
		"two hosts that report different versions": {func(int64) int64 { return 3 }, func(n int64) int64 { return 2 + n%2 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			logs := log.New(io.Discard, zerolog.ErrorLevel)
			synctest.Test(t, func(t *testing.T) {
				st := &silentWatchStore{version: 1}
				h := New(Config{Host: "h", Zone: "z", ApplyTimeout: applyTimeout}, Platform{
					Store: st, Kinds: Kinds{Table: "config", TableName: "main"},
					DecodeTable: func(raw json.RawMessage) (*route.Table, error) {
						version, err := strconv.ParseInt(string(raw), 10, 64)
						return route.New(version, nil, nil, route.Limits{}, false, nil), err
					},
				}, logs)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 2)
				go h.loop.Run(ctx, done)
				go h.tableReflector.Run(ctx, done)
				defer func() {
					cancel()
					<-done
					<-done
				}()
				synctest.Wait()
				inForce := func() int64 { return h.proxy.Table().Version }
				acknowledged := map[int64]time.Time{}
				for n := range int64(length / packetInterval) {
					newest := test.newest(n)
					if _, ok := acknowledged[newest]; !ok {
						acknowledged[newest] = time.Now()
						st.publish(newest)
					}
					h.mu.Lock()
					h.checkTableStale(&gossip.Packet{TableVersion: test.reported(n)}, gossip.Member{Host: "other"}, time.Now())
					h.mu.Unlock()
					time.Sleep(packetInterval)
					for version, at := range acknowledged {
						if late := time.Since(at); version > inForce() && late > applyTimeout {
							t.Fatalf("version %d is in force %s after version %d was acknowledged, bound %s", inForce(), late, version, applyTimeout)
						}
					}
				}
			})
		})
	}
}
