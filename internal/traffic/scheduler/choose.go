package scheduler

import (
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// Chooser picks the backend server for a request and tracks which servers have free slots.
type Chooser interface {
	Configure(now time.Time, s *release.Snapshot)
	// Choose picks a server that is not in exclude. ok is false if none has a free slot now.
	Choose(now time.Time, r *request.Request, exclude []string) (server, why string, ok bool)
	// Room reports whether a server of the pool may have a free slot for requests of a rank. Rank 1
	// is the highest of the tiers that the pool serves.
	Room(now time.Time, pool string, rank int) bool
	Started(now time.Time, r *request.Request, server string)
	Progress(now time.Time, id request.ID, tokens int)
	Finished(now time.Time, r *request.Request, res request.Result)
	Report(now time.Time, l dispatch.Load)
	Server(now time.Time, s dispatch.ServerState)
	Peer(now time.Time, h dispatch.HostState)
	// Outstanding returns the number of this host's running requests by server.
	Outstanding() map[string]int
	// Usable returns the number of servers of a pool that accept requests.
	Usable(pool string) int
}
