package scheduler

import (
	"time"

	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/request"
)

// Chooser picks the backend server of a request and knows which have room.
type Chooser interface {
	Configure(now time.Time, s *release.Snapshot)
	// Choose picks a server; ok is false when none has room now.
	Choose(now time.Time, r *request.Request, exclude []string) (server, why string, ok bool)
	// Room reports whether a server of the pool may have room for work of a rank. Rank 1 is the
	// first of the tiers that the pool serves.
	Room(now time.Time, pool string, rank int) bool
	Started(now time.Time, r *request.Request, server string)
	Progress(now time.Time, id request.ID, tokens int)
	Finished(now time.Time, r *request.Request, res request.Result)
	Report(now time.Time, l dispatch.Load)
	Server(now time.Time, s dispatch.ServerState)
	Peer(now time.Time, h dispatch.HostState)
	// Outstanding counts the host's own running requests by server.
	Outstanding() map[string]int
	// Usable counts the servers of a pool that take work.
	Usable(pool string) int
}
