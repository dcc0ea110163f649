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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/provider/feed"
	"shallotramp/internal/provider/mirror"
	"shallotramp/internal/provider/store"
)

// counted is a store that only counts its calls.
type counted struct{ calls int }

func (c *counted) List(context.Context, string) ([]store.Object, string, error) {
	c.calls++
	return nil, "99", nil
}

func (c *counted) Changes(context.Context, string, string, time.Duration) ([]store.Event, string, error) {
	c.calls++
	return nil, "99", nil
}

func object(name, version string) store.Object {
	return store.Object{Kind: "servers", Name: name, Version: version}
}

func TestLargePage(t *testing.T) {
	convey.Convey("A list of thousands of servers takes a narrow link a fraction of its size", t, func() {
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
		f.Apply("servers", mirror.Update{Full: true, Objects: list, Version: "5"}, true, time.Now())
		req, err := http.NewRequest(http.MethodGet, srv.URL+feed.PathPrefix+"servers", nil)
		convey.So(err, convey.ShouldBeNil)
		req.Header.Set("Accept-Encoding", "gzip")
		res, err := http.DefaultTransport.RoundTrip(req)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = res.Body.Close() }()
		raw, err := io.ReadAll(res.Body)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(raw), convey.ShouldBeLessThan, size/4)
		src := feed.NewSource(&counted{}, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		for range 2 {
			objects, _, err := src.List(context.Background(), "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 3000)
		}
	})
}

func TestHostsThatStartTogether(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A host whose neighbours have just started", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		st := &counted{}
		src := feed.NewSource(st, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		_, _, err := src.List(ctx, "servers")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(st.calls, convey.ShouldEqual, 0)
		convey.Convey("lists what they have soon", func() {
			f.Apply("servers", mirror.Update{Full: true, Objects: []store.Object{object("i-1", "4")}, Version: "5"}, true, time.Now())
			objects, _, err := src.List(ctx, "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 1)
			convey.So(st.calls, convey.ShouldEqual, 0)
		})
		convey.Convey("asks the store when they go on to have nothing", func() {
			for range 3 {
				_, _, err = src.List(ctx, "servers")
			}
			convey.So(err, convey.ShouldBeNil)
			convey.So(st.calls, convey.ShouldEqual, 1)
		})
	})
}

func TestFollowing(t *testing.T) {
	ctx := context.Background()
	convey.Convey("A host that follows a neighbour", t, func() {
		f := feed.New(2 * time.Second)
		srv := httptest.NewServer(f)
		defer srv.Close()
		st := &counted{}
		src := feed.NewSource(st, func() []netip.AddrPort {
			return []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))}
		}, func(netip.AddrPort, error) {})
		whole := mirror.Update{Full: true, Objects: []store.Object{object("i-1", "4"), object("i-2", "5")}, Version: "5"}
		f.Apply("servers", whole, true, time.Now())
		convey.Convey("lists what the neighbour has, without a call to the store", func() {
			objects, version, err := src.List(ctx, "servers")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 2)
			convey.So(version, convey.ShouldEqual, "5")
			convey.So(st.calls, convey.ShouldEqual, 0)
			convey.So(src.Direct(), convey.ShouldBeFalse)
		})
		convey.Convey("is told of a change while it waits", func() {
			got := make(chan []store.Event, 1)
			go func() {
				events, _, err := src.Changes(ctx, "servers", "5", 2*time.Second)
				if err != nil {
					events = nil
				}
				got <- events
			}()
			time.Sleep(10 * time.Millisecond)
			f.Apply("servers", mirror.Update{Version: "6", Events: []store.Event{{Type: store.Deleted, Object: object("i-1", "6")}}}, true, time.Now())
			convey.So(len(<-got), convey.ShouldEqual, 1)
		})
		convey.Convey("is told what a second list of the neighbour shows", func() {
			f.Apply("servers", mirror.Update{Full: true, Version: "8", Objects: []store.Object{object("i-2", "7"), object("i-3", "8")}}, true, time.Now())
			events, version, err := src.Changes(ctx, "servers", "5", time.Second)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(events), convey.ShouldEqual, 3)
			convey.So(version, convey.ShouldEqual, "8")
		})
		convey.Convey("waits for what comes after, when it knows more than the neighbour", func() {
			events, version, err := src.Changes(ctx, "servers", "7", 20*time.Millisecond)
			convey.So(err, convey.ShouldBeNil)
			convey.So(events, convey.ShouldBeEmpty)
			convey.So(version, convey.ShouldEqual, "7")
			convey.So(st.calls, convey.ShouldEqual, 0)
		})
		convey.Convey("asks the store for the changes of which there is word", func() {
			src.MarkStale()
			_, version, err := src.Changes(ctx, "servers", "5", time.Second)
			convey.So(err, convey.ShouldBeNil)
			convey.So(version, convey.ShouldEqual, "99")
			convey.So(st.calls, convey.ShouldEqual, 1)
		})
		convey.Convey("lists again when it is too far behind", func() {
			_, _, err := src.Changes(ctx, "servers", "3", time.Second)
			convey.So(store.Failed(err, store.Expired), convey.ShouldBeTrue)
		})
		asks := map[string]func(){
			"the neighbour lost it":             func() { f.Apply("servers", mirror.Update{Err: errors.New("down")}, true, time.Now()) },
			"the neighbour has not heard of it": func() { f.Apply("servers", whole, true, time.Now().Add(-time.Minute)) },
			"the neighbour follows another":     func() { f.Apply("servers", whole, false, time.Now()) },
			"the neighbour is gone":             func() { srv.Close() },
			"there is word of news":             func() { src.MarkStale() },
		}
		for name, happen := range asks {
			convey.Convey("asks the store when "+name, func() {
				happen()
				_, version, err := src.List(ctx, "servers")
				convey.So(err, convey.ShouldBeNil)
				convey.So(version, convey.ShouldEqual, "99")
				convey.So(st.calls, convey.ShouldEqual, 1)
				convey.So(src.Direct(), convey.ShouldBeTrue)
			})
		}
	})
}
