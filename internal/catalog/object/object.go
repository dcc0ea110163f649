// Package object defines the named objects that operators edit and publish:
// organisations, keys, classes, routes, pools, backend servers and limits.
// Objects refer to each other by name. A [Set] holds one of each name per kind;
// [Read] builds a Set from files and [Set.Check] verifies it as a whole.
package object

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"
)

//go:generate go tool stringer -type Kind,Protocol,Severity -output kind_string.go

// Kind names the type of an object.
type Kind uint8

// The kinds of objects, in the order in which references point upward.
const (
	KindUnknown Kind = iota
	Organisation
	Key
	Class
	Route
	Pool
	BackendServer
	Limit
)

// Protocol tells what protocol the backend servers of a pool speak.
type Protocol uint8

// The protocols of pools.
const (
	ProtocolUnknown Protocol = iota
	// Engine servers speak the OpenAI-compatible HTTP API.
	Engine
	// Service servers are plain HTTP services.
	Service
)

// OrganisationSpec is a tenant: the unit of fairness, limits and usage reports.
type OrganisationSpec struct {
	Name string
	// Weight is the organisation's entitlement within a class, relative to the others. Zero means 1.
	Weight float64 `json:",omitempty"`
	// Limit names the limit that holds over all keys of the organisation.
	Limit string `json:",omitempty"`
	// CutOffGrace is how long a host that cannot confirm its release goes on serving the organisation's keys.
	// Zero means [DefaultCutOffGrace].
	CutOffGrace Duration `json:",omitempty"`
}

// KeySpec is a credential of an organisation. Only its digest is kept.
type KeySpec struct {
	Name         string
	Organisation string
	// Digest is the lower-case hexadecimal SHA-256 of the key, see [DigestOf].
	Digest string
	// Classes names the classes that the key may ask for; empty allows each class of the route.
	Classes []string `json:",omitempty"`
	// NotAfter ends the key's validity. Zero means no end.
	NotAfter time.Time `json:",omitzero"`
}

// ClassSpec is a service level.
type ClassSpec struct {
	Name string
	// Tier orders classes; 1 is served first.
	Tier int
	// FirstToken and BetweenTokens are the latency targets. Zero means no target.
	FirstToken    Duration `json:",omitempty"`
	BetweenTokens Duration `json:",omitempty"`
	// Deadline ends a request that has no deadline of its own. Zero means [DefaultDeadline].
	Deadline Duration `json:",omitempty"`
	// Floor is the share of capacity, from 0 to 1, that the class gets while it has work waiting.
	Floor float64 `json:",omitempty"`
	// Preemptible allows running work to be cancelled and resumed for a higher tier.
	Preemptible bool `json:",omitempty"`
	// Reclaimable allows the class to run on reclaimable backend servers.
	Reclaimable bool `json:",omitempty"`
	// SharesTier allows other classes on the same tier.
	SharesTier bool `json:",omitempty"`
}

// RetrySpec bounds the retries of a route.
type RetrySpec struct {
	// Attempts counts the first try too. Zero means 1 for a non-idempotent route and 3 for others.
	Attempts int `json:",omitempty"`
	// Budget is the highest ratio of retries to first tries. Zero means 0.1.
	Budget float64 `json:",omitempty"`
}

// RouteSpec tells which pool serves a model or a path.
type RouteSpec struct {
	Name string
	// Path is the prefix of a plain service, such as "/bookings/"; empty for model routes.
	Path string `json:",omitempty"`
	// Model is what callers name in "model"; empty for plain services.
	Model string `json:",omitempty"`
	// Adapter and Version select what the engine must have loaded.
	Adapter string `json:",omitempty"`
	Version string `json:",omitempty"`
	Pool    string
	// Open serves callers without a key. Their use is counted under no organisation.
	Open bool `json:",omitempty"`
	// Organisations limits the route to these; empty allows each organisation.
	Organisations []string `json:",omitempty"`
	// Classes a caller may select; the first is the default.
	Classes []string
	// Idempotent work may run more than once without harm and so may be retried.
	Idempotent bool      `json:",omitempty"`
	Retry      RetrySpec `json:",omitzero"`
}

// PoolSpec is a group of backend servers that serve the same work.
type PoolSpec struct {
	Name     string
	Protocol Protocol
	// Models that the pool's servers may load; for engine pools.
	Models []string `json:",omitempty"`
	// Concurrency is how many requests one server runs well at once.
	Concurrency int
	// MinServers and MaxServers bound what the controller may order. Both zero leaves the pool as configured.
	MinServers int `json:",omitempty"`
	MaxServers int `json:",omitempty"`
	// MaxReclaimable is the highest share of reclaimable servers, 0 to 1.
	MaxReclaimable float64 `json:",omitempty"`
}

// BackendServerSpec is one process that runs work.
type BackendServerSpec struct {
	Name    string
	Pool    string
	Zone    string
	Address netip.AddrPort
	// Price is in the operator's currency per hour.
	Price       float64 `json:",omitempty"`
	Reclaimable bool    `json:",omitempty"`
	// ChecksFence tells whether the server refuses an order with an old fencing number.
	ChecksFence bool `json:",omitempty"`
	// Speed relates the server to its pool's usual one. Zero means 1.
	Speed float64 `json:",omitempty"`
	// Leaving servers get no new work; they are drained before they are stopped.
	Leaving bool `json:",omitempty"`
	// Ordered servers were started by the system and leave the configuration when they are gone.
	Ordered bool `json:",omitempty"`
}

// LimitSpec bounds what an organisation may use over all hosts.
type LimitSpec struct {
	Name string
	// RequestsPerSecond, TokensPerMinute and Streams are unlimited when zero.
	RequestsPerSecond float64 `json:",omitempty"`
	TokensPerMinute   float64 `json:",omitempty"`
	Streams           int     `json:",omitempty"`
}

// Defaults of optional fields.
const (
	DefaultCutOffGrace = 10 * time.Minute
	DefaultDeadline    = 2 * time.Minute
)

// Set is a whole configuration. A published Set is never changed.
type Set struct {
	Organisations  map[string]*OrganisationSpec
	Keys           map[string]*KeySpec
	Classes        map[string]*ClassSpec
	Routes         map[string]*RouteSpec
	Pools          map[string]*PoolSpec
	BackendServers map[string]*BackendServerSpec
	Limits         map[string]*LimitSpec
}

// NewSet returns an empty Set.
func NewSet() *Set {
	return &Set{
		Organisations:  map[string]*OrganisationSpec{},
		Keys:           map[string]*KeySpec{},
		Classes:        map[string]*ClassSpec{},
		Routes:         map[string]*RouteSpec{},
		Pools:          map[string]*PoolSpec{},
		BackendServers: map[string]*BackendServerSpec{},
		Limits:         map[string]*LimitSpec{},
	}
}

// LongestGrace returns the longest time for which a host without confirmation serves an organisation's keys.
func (s *Set) LongestGrace() time.Duration {
	var out time.Duration
	for _, o := range s.Organisations {
		out = max(out, o.CutOffGrace.Or(DefaultCutOffGrace))
	}
	return out
}

// DigestOf returns the digest under which a key is kept.
func DigestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Duration is a [time.Duration] written as text, such as "750ms".
type Duration time.Duration

// MarshalText writes d in the form of [time.Duration.String].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of [time.ParseDuration].
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Or returns d, or def when d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}
