// Package route holds the routing table of a deployment: to which service the
// requests of a host name and path go, under which limits, and to which
// organisation a key belongs. A [Table] is immutable; a newer version replaces
// it as a whole.
package route

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sort"
	"strings"
	"time"
)

//go:generate go tool stringer -type Kind -output kind_string.go

// Kind says which requests of a route may be retried after they may have run.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered by a series of events; they run at most once unless resumable.
	Stream
)

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// Goal is the target for the time to the answer or to a stream's first event. A later one is worth less to
	// the caller.
	Goal time.Duration
	// GapTarget is the target for the longest pause between two events. A longer one is worth less to the caller.
	GapTarget time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// Attempts is the maximum number of backend servers that may run a request.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may be continued on another backend server after a known event.
	Resumable bool
	// HasPromptParts says that requests describe the parts of their prompts.
	HasPromptParts bool
	Targets        []Target
}

// Retryable reports whether a request that may have run may run again.
func (r *Route) Retryable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Pick returns the service for a request; the same key always gets the same service.
func (r *Route) Pick(key uint64) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := int(key % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[0].Service
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name     string
	MaxConns int
	// Engine is set if the servers are model engines.
	Engine *Engine
	// Scaling is set if servers can be ordered for the service.
	Scaling *Scaling
	// ColdTime is how long a server is cold after its start, and ColdRate the requests per second that a cold server takes
	// from all hosts together; 0 if it takes as many as any other.
	ColdTime time.Duration
	ColdRate float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum batch size, and CacheTokens the KV cache size of one engine in tokens.
	Slots, CacheTokens int
}

// Scaling bounds and prices the servers of a service in each availability zone.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
	// SpotPrice is the price of a reclaimable server as a fraction of that of a regular one; 0 if there are none
	// to order.
	SpotPrice float64
	// Prices are the prices of a regular server by availability zone.
	Prices map[string]float64
}

// Limits are limits on what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Organisation is a caller's organisation.
type Organisation struct {
	Name string
	// Priority comes before the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// RequiresKey says that requests need a key, except on anonymous routes.
	RequiresKey bool

	byHost map[string][]*Route
	keys   map[uint64]keyEntry
	seed   maphash.Seed
	routes int
	// promptPriorities are the priorities of requests on routes with HasPromptParts, plainPriorities those of
	// other requests, each in order.
	promptPriorities, plainPriorities []priority
}

// priority orders requests: first by the organisation's priority, or the route's if it has none, then by the
// route's.
type priority struct{ primary, secondary int }

func (p priority) compare(o priority) int {
	return cmp.Or(cmp.Compare(p.primary, o.primary), cmp.Compare(p.secondary, o.secondary))
}

func priorityOf(r *Route, o *Organisation) priority {
	p := priority{r.Priority, r.Priority}
	if o != nil && o.HasPriority {
		p.primary = o.Priority
	}
	return p
}

type keyEntry struct {
	key          string
	organisation *Organisation
}

// New returns a table; keys maps each key to its organisation.
func New(version int64, routes []*Route, services []*Service, limits Limits, requiresKey bool, keys map[string]*Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits, RequiresKey: requiresKey, routes: len(routes),
		Services: make(map[string]*Service, len(services)),
		byHost:   map[string][]*Route{}, keys: make(map[uint64]keyEntry, len(keys)), seed: maphash.MakeSeed(),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, rs := range t.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for k, o := range keys {
		t.keys[maphash.String(t.seed, k)] = keyEntry{key: k, organisation: o}
	}
	t.collectPriorities(routes, keys)
	return t
}

// collectPriorities collects the priorities that requests can have.
func (t *Table) collectPriorities(routes []*Route, keys map[string]*Organisation) {
	organisations := map[*Organisation]bool{nil: true}
	for _, o := range keys {
		organisations[o] = true
	}
	for _, r := range routes {
		list := &t.plainPriorities
		if r.HasPromptParts {
			list = &t.promptPriorities
		}
		for o := range organisations {
			p := priorityOf(r, o)
			if i, ok := slices.BinarySearchFunc(*list, p, priority.compare); !ok {
				*list = slices.Insert(*list, i, p)
			}
		}
	}
}

// Tier returns the tier of an organisation's requests on a route, 0 the highest. It is the rank of their priority
// among all requests that the same servers may get: those of routes with HasPromptParts, or those of the other
// routes. An organisation's priority comes before the route's.
func (t *Table) Tier(r *Route, o *Organisation) int {
	list := t.plainPriorities
	if r.HasPromptParts {
		list = t.promptPriorities
	}
	i, _ := slices.BinarySearchFunc(list, priorityOf(r, o), priority.compare)
	return i
}

// TierCount returns the number of tiers on routes with HasPromptParts.
func (t *Table) TierCount() int { return len(t.promptPriorities) }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Match returns the route of the host name with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation of a key, or nil if the key is unknown.
func (t *Table) Organisation(key string) *Organisation {
	e, ok := t.keys[maphash.String(t.seed, key)]
	if !ok || e.key != key {
		return nil
	}
	return e.organisation
}
