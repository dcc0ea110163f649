package statesync

import "github.com/cespare/xxhash/v2"

// Owner returns the one of hosts that polls the load of the backend server for all of them, or "" if there are no
// hosts. It uses rendezvous hashing: when a host joins or leaves, only the servers that it owns change their owner.
func Owner(server string, hosts []string) string {
	maxHash, owner := uint64(0), ""
	for _, h := range hosts {
		hash := xxhash.New()
		_, _ = hash.WriteString(h)
		_, _ = hash.WriteString("/")
		_, _ = hash.WriteString(server)
		if n := hash.Sum64(); owner == "" || n > maxHash || n == maxHash && h < owner {
			maxHash, owner = n, h
		}
	}
	return owner
}
