package station

import (
	"fmt"
	"io"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	"shallotramp/internal/fleet/backend"
	"shallotramp/internal/ops/log"
)

// BenchmarkPublish takes one change of the list of servers, beside the number of servers.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{12, 90, 3000} {
		b.Run(fmt.Sprintf("%d servers", n), func(b *testing.B) {
			s := New(Config{Host: "h", Zone: "z-0"}, Platform{}, log.New(io.Discard, zerolog.ErrorLevel))
			for i := range n {
				s.directory.Put(backend.Server{
					ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "pool", Zone: fmt.Sprintf("z-%d", i%3), Slots: 16,
					Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 80),
				})
			}
			b.ReportAllocs()
			changed := backend.Server{ID: "i-changes", Service: "pool", Addr: netip.MustParseAddrPort("10.9.9.9:80")}
			for b.Loop() {
				changed.Leaving = !changed.Leaving
				s.directory.Put(changed)
				s.publish("7")
				list := *s.servers.Load()
				s.policy.SetServers(s.listening, list)
			}
		})
	}
}
