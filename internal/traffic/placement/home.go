package placement

import (
	"time"

	"shallotramp/internal/traffic/request"
)

const (
	// maxHomes is the number of engines at which the shared prefix of a prompt is looked for, best first.
	maxHomes = 3
	// homeCachedShare is the assumed share of a shared prefix that its home has cached. A host sends each prefix
	// too rarely to know.
	homeCachedShare = 0.8
	// secondHomeCost is the cost of the second home of a prefix, and notHomeCost that of engines that are no home.
	secondHomeCost = 25 * time.Millisecond
	notHomeCost    = 50 * time.Millisecond
	// fetchCostPerToken is the cost of fetching a cached token from another engine: the transfer occupies the links and
	// the KV cache of two engines.
	fetchCostPerToken = 12 * time.Microsecond
)

// homes are the engines that all hosts prefer for a shared prefix, chosen by rendezvous hashing from the engines of
// all availability zones. Engines that come and go move only their own prefixes, and hosts agree without knowing
// what is cached. Load pattern: many large shared prefixes, each of which is requested rarely in any one zone, so
// that a copy in each zone would be evicted or moved before it is used again. If the goal is short, hosts prefer the
// best engine of their own zone, about whose load they have recent news.
type homes struct {
	// servers are the best engines that accept work, and zoneHome is the best of the own zone.
	servers  []*server
	zoneHome *server
	// source is an engine that probably has the prefix cached although servers[0] may not have it: one that is
	// leaving, or that was the home before servers[0] was started. It may be nil.
	source *server
}

// homes returns the homes of the request's shared prefix, none if it has no long one.
func (e *entry) homes(now time.Time, zone string) homes {
	if len(e.req.Parts) < 2 || !e.longPrompt {
		return homes{}
	}
	key := sharedPrefixID(e.req.Parts)
	var best [maxHomes]*server
	var ranks [maxHomes]float64
	h := homes{servers: make([]*server, 0, maxHomes)}
	var zoneRank float64
	for _, s := range e.svc.listed {
		if !s.forLongPrompts || s.addressTaken || s.evacuated {
			continue
		}
		rank := e.svc.homeRank(s, key)
		if s.info.Zone == zone && !s.unavailable && (h.zoneHome == nil || rank < zoneRank) {
			h.zoneHome, zoneRank = s, rank
		}
		for i := range best {
			if best[i] == nil || rank < ranks[i] {
				copy(best[i+1:], best[i:])
				copy(ranks[i+1:], ranks[i:])
				best[i], ranks[i] = s, rank
				break
			}
		}
	}
	for _, s := range best {
		switch {
		case s == nil:
		case s.unavailable:
			if len(h.servers) == 0 && h.source == nil {
				h.source = s
			}
		default:
			h.servers = append(h.servers, s)
		}
	}
	if h.source == nil && len(h.servers) > 1 {
		if first, former := h.servers[0], h.servers[1]; former.listedSince.Before(first.listedSince) && now.Sub(first.listedSince) < cacheLifetime {
			h.source = former
		}
	}
	return h
}

// isHome reports whether s is the first home.
func (h homes) isHome(s *server) bool { return len(h.servers) > 0 && h.servers[0] == s }

// cost returns the cost of an engine that is neither the first home nor the best of the own zone.
func (h homes) cost(s *server) time.Duration {
	switch {
	case len(h.servers) == 0 || h.servers[0] == s || h.zoneHome == s:
		return 0
	case len(h.servers) > 1 && h.servers[1] == s:
		return secondHomeCost
	}
	return notHomeCost
}

// sourceFor returns an engine from which s can fetch the prefix, or nil if s probably has it or no engine has.
func (h homes) sourceFor(s *server) *server {
	if h.isHome(s) {
		return h.source
	}
	if len(h.servers) > 0 {
		return h.servers[0]
	}
	return nil
}

// assumedUncached returns the number of tokens that a home of the prompt is assumed to prefill.
func assumedUncached(parts []request.Part) int {
	shared := 0
	for _, part := range parts[:len(parts)-1] {
		shared += part.Tokens
	}
	return parts[len(parts)-1].Tokens + int((1-homeCachedShare)*float64(shared))
}
