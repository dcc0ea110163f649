package serverlist_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/fleet/serverlist"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func server(id string) backend.Server {
	return backend.Server{ID: id, Service: "pool", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
}

func ids(l *serverlist.List) []string {
	out := []string{}
	for _, s := range l.List() {
		out = append(out, s.ID)
	}
	return out
}

func TestRemoval(t *testing.T) {
	convey.Convey("A list of two servers", t, func() {
		l := serverlist.New()
		l.StoreAnswered(start)
		l.Replace(start, []backend.Server{server("i-1"), server("i-2")})
		convey.Convey("drops a server whose entry is removed while the store answers, however long ago the last change was", func() {
			l.StoreAnswered(start.Add(time.Hour))
			l.Remove(start.Add(time.Hour), "i-1")
			convey.So(ids(l), convey.ShouldResemble, []string{"i-2"})
		})
		convey.Convey("after an outage of the store", func() {
			availableAt := start.Add(8 * time.Second)
			l.StoreUnavailable()
			l.StoreAnswered(availableAt)
			l.Replace(availableAt, []backend.Server{server("i-2")})
			convey.Convey("keeps a server whose entry has expired", func() {
				convey.So(ids(l), convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.So(l.Expire(availableAt.Add(time.Second)), convey.ShouldBeFalse)
			})
			convey.Convey("drops it if its entry is not back after two seconds", func() {
				convey.So(l.Expire(availableAt.Add(2*time.Second)), convey.ShouldBeTrue)
				convey.So(ids(l), convey.ShouldResemble, []string{"i-2"})
			})
			convey.Convey("does not extend its time with each list", func() {
				l.Replace(availableAt.Add(time.Second), []backend.Server{server("i-2")})
				convey.So(l.Expire(availableAt.Add(2*time.Second)), convey.ShouldBeTrue)
			})
			convey.Convey("keeps it after that time if its entry is back", func() {
				l.Put(server("i-1"))
				convey.So(l.Expire(availableAt.Add(time.Minute)), convey.ShouldBeFalse)
				convey.So(ids(l), convey.ShouldResemble, []string{"i-1", "i-2"})
			})
		})
		convey.Convey("drops a server that had announced that it is leaving, even after an outage", func() {
			leaving := server("i-1")
			leaving.Leaving = true
			l.Put(leaving)
			l.StoreUnavailable()
			l.StoreAnswered(start.Add(time.Second))
			l.Remove(start.Add(time.Second), "i-1")
			convey.So(ids(l), convey.ShouldResemble, []string{"i-2"})
		})
	})
}
