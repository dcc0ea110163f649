// Package route holds the routing table of a deployment: which host name and
// path lead to which service, under which limits, and which organisation a key
// belongs to. A [Table] is immutable; a newer version replaces it as a whole.
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

// Kind tells what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream answers are a series of events; they run at most once unless resumable.
	Stream
)

// Route is where the requests of one host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take; 0 is unbounded.
	Timeout time.Duration
	// Goal is the time to the answer, or to a stream's first event, at full value.
	Goal time.Duration
	// GapTarget is the longest pause between two events at full value.
	GapTarget time.Duration
	// Priority is the tier, 0 the highest.
	Priority int
	// Attempts is the highest number of backend servers that may run one request.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server after a known event.
	Resumable bool
	// HasPromptParts requests describe their prompt's parts.
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

// Pick returns the service for a request; equal keys get equal services.
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

// Service is a group of backend servers that run the same.
type Service struct {
	Name     string
	MaxConns int
	// Engine is set for model engines.
	Engine *Engine
	// Scaling is set where servers can be ordered.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest batch, and CacheTokens the memory of one engine in tokens.
	Slots, CacheTokens int
}

// Scaling bounds and prices the servers of a service in each availability zone.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
	// SpotPrice is the price of a reclaimable server as a share of a regular one; 0 is not offered.
	SpotPrice float64
	// Prices of a regular server by availability zone.
	Prices map[string]float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Organisation is a caller's organisation.
type Organisation struct {
	Name string
	// Priority replaces the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// RequiresKey tells that requests need a key.
	RequiresKey bool

	byHost map[string][]*Route
	keys   map[uint64]keyEntry
	seed   maphash.Seed
	routes int
	// ranks are the priorities that prompted requests can have, and plain those of others, each in order.
	ranks, plain []priority
}

// priority orders requests: first by organisation, or by route where it has none, then by route.
type priority struct{ first, second int }

func (p priority) compare(o priority) int {
	return cmp.Or(cmp.Compare(p.first, o.first), cmp.Compare(p.second, o.second))
}

func priorityOf(r *Route, o *Organisation) priority {
	p := priority{r.Priority, r.Priority}
	if o != nil && o.HasPriority {
		p.first = o.Priority
	}
	return p
}

type keyEntry struct {
	key          string
	organisation *Organisation
}

// New builds a table. Keys maps each key to its organisation.
func New(version int64, routes []*Route, services []*Service, limits Limits, keyed bool, keys map[string]*Organisation) *Table {
	t := &Table{
		Version: version, Limits: limits, RequiresKey: keyed, routes: len(routes),
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
	t.rank(routes, keys)
	return t
}

// rank lists the priorities that requests can have.
func (t *Table) rank(routes []*Route, keys map[string]*Organisation) {
	organisations := map[*Organisation]bool{nil: true}
	for _, o := range keys {
		organisations[o] = true
	}
	for _, r := range routes {
		list := &t.plain
		if r.HasPromptParts {
			list = &t.ranks
		}
		for o := range organisations {
			p := priorityOf(r, o)
			if i, ok := slices.BinarySearchFunc(*list, p, priority.compare); !ok {
				*list = slices.Insert(*list, i, p)
			}
		}
	}
}

// Tier returns the rank of an organisation's request on a route among all that the same servers may get, 0
// the highest. An organisation's priority comes before the route's.
func (t *Table) Tier(r *Route, o *Organisation) int {
	list := t.plain
	if r.HasPromptParts {
		list = t.ranks
	}
	i, _ := slices.BinarySearchFunc(list, priorityOf(r, o), priority.compare)
	return i
}

// TierCount returns how many tiers prompted requests can have.
func (t *Table) TierCount() int { return len(t.ranks) }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Match returns the route of the host name with the longest prefix of path, or nil.
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

// Organisation returns whose key it is, or nil.
func (t *Table) Organisation(key string) *Organisation {
	e, ok := t.keys[maphash.String(t.seed, key)]
	if !ok || e.key != key {
		return nil
	}
	return e.organisation
}
