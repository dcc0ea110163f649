package feed_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/provider/feed"
	"shallotramp/internal/provider/reflector"
	"shallotramp/internal/provider/store"
)

// countingStore is an empty store that counts its calls.
type countingStore struct{ calls int }

func (s *countingStore) List(context.Context, string) ([]store.Object, string, error) {
	s.calls++
	return nil, "99", nil
}

func (s *countingStore) Changes(context.Context, string, string, time.Duration) ([]store.Event, string, error) {
	s.calls++
	return nil, "99", nil
}

func object(name, version string) store.Object {
	return store.Object{Kind: "servers", Name: name, Version: version}
}

// TestLargePage guards against large lists that are sent uncompressed: a list of thousands of servers is nearly a
// megabyte, which blocks a slow link between hosts for too long.
func TestLargePage(t *testing.T) {
	convey.Convey("A list of thousands of servers is sent compressed", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		var list []store.Object
		size := 0
		for i := range 3000 {
			o := object(fmt.Sprintf("i-%08x", i*2654435761), fmt.Sprint(i))
			o.Spec = fmt.Appendf(nil, `{"service":"pool","address":"10.2.%d.%d:8301","zone":"z-a","version":"v1","slots":16,"state":"ready"}`, i/250, i%250)
			size += len(o.Spec)
			list = append(list, o)
		}
		f.Apply("servers", reflector.Update{Full: true, Objects: list, Version: "5"}, true, time.Now())
		req, err := http.NewRequest(http.MethodGet, srv.URL+feed.PathPrefix+"servers", nil)
		convey.So(err, convey.ShouldBeNil)
		req.Header.Set("Accept-Encoding", "gzip")
		res, err := http.DefaultTransport.RoundTrip(req)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		raw, err := io.ReadAll(res.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(raw), convey.ShouldBeLessThan, size/4)
		src := feed.NewSource(&countingStore{}, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		for range 2 {
			objects, _, err := src.List(context.Background(), "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 3000)
		}
	})
}

// TestHostsThatStartTogether guards against hosts that all list the objects from the store when they start together,
// and against a host that waits forever for neighbours without a list.
func TestHostsThatStartTogether(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A host whose neighbours have just started", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		st := &countingStore{}
		src := feed.NewSource(st, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		_, _, err := src.List(ctx, "servers")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(st.calls, convey.ShouldEqual, 0)
		convey.Convey("lists their objects as soon as they have them", func() {
			f.Apply("servers", reflector.Update{Full: true, Objects: []store.Object{object("i-1", "4")}, Version: "5"}, true, time.Now())
			objects, _, err := src.List(ctx, "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 1)
			convey.So(st.calls, convey.ShouldEqual, 0)
		})
		convey.Convey("reads from the store if they still have none", func() {
			for range 3 {
				_, _, err = src.List(ctx, "servers")
			}
			convey.So(err, convey.ShouldBeNil)
			convey.So(st.calls, convey.ShouldEqual, 1)
		})
	})
}

// TestFollowing guards against followers that miss changes, and against calls to the store that a neighbour's copy
// makes unnecessary.
func TestFollowing(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A host that follows a neighbour", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		st := &countingStore{}
		src := feed.NewSource(st, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		whole := reflector.Update{Full: true, Objects: []store.Object{object("i-1", "4"), object("i-2", "5")}, Version: "5"}
		f.Apply("servers", whole, true, time.Now())
		convey.Convey("lists the neighbour's objects without a call to the store", func() {
			objects, version, err := src.List(ctx, "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 2)
			convey.So(version, convey.ShouldEqual, "5")
			convey.So(st.calls, convey.ShouldEqual, 0)
			convey.So(src.Direct(), convey.ShouldBeFalse)
		})
		convey.Convey("receives a change while it waits", func() {
			got := make(chan []store.Event, 1)
			go func() {
				events, _, err := src.Changes(ctx, "servers", "5", 2*time.Second)
				if err != nil {
					events = nil
				}
				got <- events
			}()
			time.Sleep(10 * time.Millisecond)
			f.Apply("servers", reflector.Update{Version: "6", Events: []store.Event{{Type: store.Deleted, Object: object("i-1", "6")}}}, true, time.Now())
			convey.So(len(<-got), convey.ShouldEqual, 1)
		})
		convey.Convey("receives the differences that a second list of the neighbour shows", func() {
			f.Apply("servers", reflector.Update{Full: true, Version: "8", Objects: []store.Object{object("i-2", "7"), object("i-3", "8")}}, true, time.Now())
			events, version, err := src.Changes(ctx, "servers", "5", time.Second)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(events), convey.ShouldEqual, 3)
			convey.So(version, convey.ShouldEqual, "8")
		})
		convey.Convey("waits for later changes if its version is newer than the neighbour's", func() {
			events, version, err := src.Changes(ctx, "servers", "7", 20*time.Millisecond)
			convey.So(err, convey.ShouldBeNil)
			convey.So(events, convey.ShouldBeEmpty)
			convey.So(version, convey.ShouldEqual, "7")
			convey.So(st.calls, convey.ShouldEqual, 0)
		})
		convey.Convey("reads the changes from the store if the neighbours are stale", func() {
			src.MarkStale()
			_, version, err := src.Changes(ctx, "servers", "5", time.Second)
			convey.So(err, convey.ShouldBeNil)
			convey.So(version, convey.ShouldEqual, "99")
			convey.So(st.calls, convey.ShouldEqual, 1)
		})
		convey.Convey("must list again if it is too far behind", func() {
			_, _, err := src.Changes(ctx, "servers", "3", time.Second)
			convey.So(store.Failed(err, store.Expired), convey.ShouldBeTrue)
		})
		storeReasons := map[string]func(){
			"the neighbour's call to the store failed": func() { f.Apply("servers", reflector.Update{Err: errors.New("down")}, true, time.Now()) },
			"the neighbour's copy is stale":            func() { f.Apply("servers", whole, true, time.Now().Add(-time.Minute)) },
			"the neighbour follows another host":       func() { f.Apply("servers", whole, false, time.Now()) },
			"the neighbour has stopped":                func() { srv.Close() },
			"the neighbours are marked stale":          func() { src.MarkStale() },
		}
		for name, cause := range storeReasons {
			convey.Convey("lists from the store when "+name, func() {
				cause()
				_, version, err := src.List(ctx, "servers")
				convey.So(err, convey.ShouldBeNil)
				convey.So(version, convey.ShouldEqual, "99")
				convey.So(st.calls, convey.ShouldEqual, 1)
				convey.So(src.Direct(), convey.ShouldBeTrue)
			})
		}
	})
}

// TestFollowerOfSilentNeighbour guards against a follower that waits at a neighbour which has lost the store, or has not
// heard from it for too long, while the store has newer objects.
func TestFollowerOfSilentNeighbour(t *testing.T) {
	const (
		watchWait = 2 * time.Second
		freshFor  = watchWait + time.Second
	)
	tests := map[string]struct {
		// requestAt is when the follower asks after the neighbour's last answer from the store, lostAt when the
		// neighbour notices that it has lost the store, and answered the latest time of the response.
		requestAt, lostAt, answered time.Duration
	}{
		"the neighbour's watch fails while the follower waits":      {500 * time.Millisecond, time.Second, time.Second},
		"the neighbour's copy becomes stale while a follower waits": {2500 * time.Millisecond, 10 * time.Second, freshFor},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, start := feed.New(watchWait), time.Now()
				f.Apply("config", reflector.Update{Full: true, Objects: []store.Object{object("main", "4")}, Version: "5"}, true, start)
				lost := time.AfterFunc(test.lostAt, func() { f.Apply("config", reflector.Update{Err: errors.New("silent")}, true, time.Now()) })
				defer lost.Stop()
				time.Sleep(test.requestAt)
				w := httptest.NewRecorder()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, feed.PathPrefix+"config?After=5&Wait=2s", nil))
				if got := time.Since(start); w.Code != http.StatusServiceUnavailable || got > test.answered {
					t.Errorf("status %d after %s, want %d within %s", w.Code, got, http.StatusServiceUnavailable, test.answered)
				}
			})
		})
	}
}

// deadStore is a store that does not answer.
type deadStore struct{ calls int }

func (s *deadStore) List(context.Context, string) ([]store.Object, string, error) {
	s.calls++
	return nil, "", &store.Error{Reason: store.Unavailable}
}

func (s *deadStore) Changes(context.Context, string, string, time.Duration) ([]store.Event, string, error) {
	s.calls++
	return nil, "", &store.Error{Reason: store.Unavailable}
}

// TestStoreAnswersOthersOnly guards against a host that keeps old objects while the store turns it away and serves the
// other hosts.
func TestStoreAnswersOthersOnly(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A host that the store turns away", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		other := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		st := &deadStore{}
		none := func() []netip.AddrPort { return nil }
		src := feed.NewSource(st, none, func(netip.AddrPort, error) {}, feed.WithOthers(func() []netip.AddrPort { return []netip.AddrPort{other} }))
		f.Apply("servers", reflector.Update{Full: true, Objects: []store.Object{object("i-1", "4")}, Version: "5"}, true, time.Now())
		list := func() {
			objects, version, err := src.List(ctx, "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(version, convey.ShouldEqual, "5")
			convey.So(len(objects), convey.ShouldEqual, 1)
			convey.So(src.Direct(), convey.ShouldBeFalse)
		}
		convey.Convey("lists the objects of another host", func() {
			list()
			convey.So(st.calls, convey.ShouldEqual, 1)
			convey.Convey("and follows its changes without further calls to the store for a while", func() {
				f.Apply("servers", reflector.Update{Version: "6", Events: []store.Event{{Type: store.Deleted, Object: object("i-1", "6")}}}, true, time.Now())
				events, version, err := src.Changes(ctx, "servers", "5", time.Second)
				convey.So(err, convey.ShouldBeNil)
				convey.So(version, convey.ShouldEqual, "6")
				convey.So(len(events), convey.ShouldEqual, 1)
				convey.So(st.calls, convey.ShouldEqual, 1)
			})
		})
		convey.Convey("does so also if its neighbours are known to be behind", func() {
			src.MarkStale()
			list()
		})
		convey.Convey("reports the store's failure if the other host has lost the store too", func() {
			f.Apply("servers", reflector.Update{Err: errors.New("down")}, true, time.Now())
			_, _, err := src.List(ctx, "servers")
			convey.So(store.Failed(err, store.Unavailable), convey.ShouldBeTrue)
			convey.So(src.Direct(), convey.ShouldBeTrue)
		})
	})
}
