package exchange

import "github.com/cespare/xxhash/v2"

// Owner returns the host of hosts that polls the server's load for all of them, empty for no hosts. When a host
// comes or goes, only its servers change their owner.
func Owner(server string, hosts []string) string {
	best, out := uint64(0), ""
	for _, h := range hosts {
		d := xxhash.New()
		_, _ = d.WriteString(h)
		_, _ = d.WriteString("/")
		_, _ = d.WriteString(server)
		if n := d.Sum64(); out == "" || n > best || n == best && h < out {
			best, out = n, h
		}
	}
	return out
}
