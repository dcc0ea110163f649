// Package object defines the named objects that operators edit and publish:
// organisations, keys, classes, routes, pools, backend servers and limits. They
// are not the objects of the platform's store, which package store describes.
// Objects refer to each other by name. A [Set] holds at most one object of each
// kind and name; [Read] builds a Set from files and [Set.Check] verifies it as a
// whole.
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

// The kinds of objects, in the order in which documents and findings are listed.
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
	// Service servers are plain HTTP services, that is, any HTTP servers that are not model engines.
	Service
)

// OrganisationSpec is a tenant: fair sharing, limits and usage reports apply per organisation.
type OrganisationSpec struct {
	Name string
	// Weight is the organisation's share within a class, relative to other organisations. Zero means 1.
	Weight float64 `json:",omitempty"`
	// Limit names the limit that applies to all keys of the organisation together.
	Limit string `json:",omitempty"`
	// CutOffGrace is how long a host that cannot confirm its release continues to serve the organisation's keys.
	// Zero means [DefaultCutOffGrace].
	CutOffGrace Duration `json:",omitempty"`
}

// KeySpec is an API key of an organisation. Only its digest is stored.
type KeySpec struct {
	Name         string
	Organisation string
	// Digest is the lower-case hexadecimal SHA-256 of the key, see [DigestOf].
	Digest string
	// Classes names the classes that the key may request; empty allows each class of the route.
	Classes []string `json:",omitempty"`
	// NotAfter is when the key expires. Zero means never.
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
	// Deadline is the time limit of a request that sets none itself. Zero means [DefaultDeadline].
	Deadline Duration `json:",omitempty"`
	// Floor is the minimum share of capacity, from 0 to 1, that the class gets while it has queued requests.
	Floor float64 `json:",omitempty"`
	// Preemptible allows running requests to be cancelled in favour of a higher tier and resumed later.
	Preemptible bool `json:",omitempty"`
	// Reclaimable allows the class to run on reclaimable backend servers.
	Reclaimable bool `json:",omitempty"`
	// SharesTier allows other classes on the same tier.
	SharesTier bool `json:",omitempty"`
}

// RetrySpec bounds the retries of a route.
type RetrySpec struct {
	// Attempts is the highest number of attempts, including the first. Zero means 1 for a non-idempotent route and 3
	// for others.
	Attempts int `json:",omitempty"`
	// Budget is the highest ratio of retries to first attempts. Zero means 0.1.
	Budget float64 `json:",omitempty"`
}

// RouteSpec tells which pool serves a model or a path.
type RouteSpec struct {
	Name string
	// Path is the path prefix of a plain HTTP service, such as "/bookings/"; empty for model routes.
	Path string `json:",omitempty"`
	// Model is the value of "model" in callers' requests; empty for plain HTTP services.
	Model string `json:",omitempty"`
	// Adapter and Version select the adapter and model version that the engine must have loaded.
	Adapter string `json:",omitempty"`
	Version string `json:",omitempty"`
	Pool    string
	// Open serves callers without a key. Their usage is counted under no organisation.
	Open bool `json:",omitempty"`
	// Organisations names the organisations that may use the route; empty allows each organisation.
	Organisations []string `json:",omitempty"`
	// Classes names the classes that a caller may request; the first is the default.
	Classes []string
	// Idempotent tells whether a request may run more than once without harm and so may be retried.
	Idempotent bool      `json:",omitempty"`
	Retry      RetrySpec `json:",omitzero"`
}

// PoolSpec is a group of backend servers that serve the same requests.
type PoolSpec struct {
	Name     string
	Protocol Protocol
	// Models names the models that the pool's servers may load; for engine pools.
	Models []string `json:",omitempty"`
	// Concurrency is how many requests one server can run at once without slowing them down too much.
	Concurrency int
	// MinServers and MaxServers bound the number of servers to which the controller scales the pool. If both are zero,
	// the controller does not scale it.
	MinServers int `json:",omitempty"`
	MaxServers int `json:",omitempty"`
	// MaxReclaimable is the highest share of reclaimable servers, 0 to 1.
	MaxReclaimable float64 `json:",omitempty"`
}

// BackendServerSpec is one process that runs requests.
type BackendServerSpec struct {
	Name    string
	Pool    string
	Zone    string
	Address netip.AddrPort
	// Price is in the operator's currency per hour.
	Price float64 `json:",omitempty"`
	// Reclaimable tells that the provider may take the server back, like a spot instance.
	Reclaimable bool `json:",omitempty"`
	// ChecksFence tells whether the server rejects an order with an outdated fencing number.
	ChecksFence bool `json:",omitempty"`
	// Speed is the server's speed relative to the usual server of its pool. Zero means 1.
	Speed float64 `json:",omitempty"`
	// Leaving tells that the server is being drained: it gets no new requests and is stopped afterwards.
	Leaving bool `json:",omitempty"`
	// Ordered tells that the controller started the server; it is removed from the configuration once it has stopped.
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

// Set is a whole configuration. A published Set is immutable.
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

// LongestGrace returns the longest CutOffGrace of all organisations, with [DefaultCutOffGrace] for those that set none.
func (s *Set) LongestGrace() time.Duration {
	var out time.Duration
	for _, o := range s.Organisations {
		out = max(out, o.CutOffGrace.Or(DefaultCutOffGrace))
	}
	return out
}

// DigestOf returns the digest under which a key is stored.
func DigestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Duration is a [time.Duration] written as text, such as "750ms".
type Duration time.Duration

// MarshalText formats d like [time.Duration.String].
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses b like [time.ParseDuration].
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
