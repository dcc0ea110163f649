package object

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Severity tells whether a finding prevents publication.
type Severity uint8

// The severities of findings.
const (
	// Warning findings are shown and do not prevent publication.
	Warning Severity = iota
	// Refusal findings prevent publication.
	Refusal
)

// MarshalText writes the name of v.
func (v Severity) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Finding is one problem of a Set, with the object and field that cause it.
type Finding struct {
	Severity Severity
	Kind     Kind
	Name     string
	Field    string
	Problem  string
	Remedy   string
}

func (f Finding) Error() string {
	return fmt.Sprintf("%s %q, field %s: %s; %s", f.Kind, f.Name, f.Field, f.Problem, f.Remedy)
}

// Refused reports whether one of fs prevents publication.
func Refused(fs []Finding) bool {
	for _, f := range fs {
		if f.Severity == Refusal {
			return true
		}
	}
	return false
}

// Check verifies s as a whole and returns every finding, ordered by kind, name and field.
func (s *Set) Check() []Finding {
	c := &checker{s: s}
	c.organisations()
	c.keys()
	c.classes()
	c.routes()
	c.pools()
	c.servers()
	c.limits()
	sort.SliceStable(c.found, func(i, j int) bool {
		a, b := c.found[i], c.found[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		return a.Field < b.Field
	})
	return c.found
}

type checker struct {
	s     *Set
	found []Finding
}

func (c *checker) refuse(k Kind, name, field, problem, remedy string) {
	c.found = append(c.found, Finding{Refusal, k, name, field, problem, remedy})
}

func (c *checker) warn(k Kind, name, field, problem, remedy string) {
	c.found = append(c.found, Finding{Warning, k, name, field, problem, remedy})
}

// refer checks that a reference leads to an object of m.
func refer[T any](c *checker, k Kind, name, field, target string, to Kind, m map[string]*T) bool {
	if _, ok := m[target]; ok {
		return true
	}
	c.refuse(k, name, field, fmt.Sprintf("refers to %s %q, which does not exist", to, target),
		fmt.Sprintf("add the %s or correct the name", to))
	return false
}

// unique checks that a list of references names nothing twice.
func (c *checker) unique(k Kind, name, field string, list []string) {
	seen := map[string]bool{}
	for _, v := range list {
		if seen[v] {
			c.refuse(k, name, field, fmt.Sprintf("names %q twice", v), "remove one")
		}
		seen[v] = true
	}
}

func (c *checker) organisations() {
	for n, o := range c.s.Organisations {
		if o.Weight < 0 {
			c.refuse(Organisation, n, "Weight", "is negative", "use a positive number or leave it out")
		}
		if o.CutOffGrace < 0 {
			c.refuse(Organisation, n, "CutOffGrace", "is negative", "use a duration such as 10m")
		}
		if o.Limit != "" {
			refer(c, Organisation, n, "Limit", o.Limit, Limit, c.s.Limits)
		}
	}
}

func (c *checker) keys() {
	holder := map[string]string{}
	names := slices.Sorted(maps.Keys(c.s.Keys))
	for _, n := range names {
		k := c.s.Keys[n]
		refer(c, Key, n, "Organisation", k.Organisation, Organisation, c.s.Organisations)
		b, err := hex.DecodeString(k.Digest)
		if err != nil || len(b) != 32 || k.Digest != strings.ToLower(k.Digest) {
			c.refuse(Key, n, "Digest", "is not a lower-case hexadecimal SHA-256", "use 'shallotramp key grant', which prints the key once and keeps the digest")
			continue
		}
		if other, ok := holder[k.Digest]; ok {
			c.refuse(Key, n, "Digest", fmt.Sprintf("is also that of Key %q", other), "give each Key its own digest, so that one can be withdrawn alone")
		}
		holder[k.Digest] = n
		c.unique(Key, n, "Classes", k.Classes)
		for _, cl := range k.Classes {
			refer(c, Key, n, "Classes", cl, Class, c.s.Classes)
		}
	}
}

func (c *checker) classes() {
	byTier := map[int][]string{}
	var floors float64
	for n, cl := range c.s.Classes {
		byTier[cl.Tier] = append(byTier[cl.Tier], n)
		floors += cl.Floor
		if cl.Tier < 1 {
			c.refuse(Class, n, "Tier", "is below 1", "number tiers from 1, the first to be served")
		}
		if cl.Floor < 0 || cl.Floor > 1 {
			c.refuse(Class, n, "Floor", "is not between 0 and 1", "give the share of capacity, such as 0.05")
		}
		if cl.FirstToken < 0 || cl.BetweenTokens < 0 || cl.Deadline < 0 {
			c.refuse(Class, n, "FirstToken", "a latency target or deadline is negative", "use durations such as 790ms")
		}
		if cl.FirstToken > 0 && cl.Deadline > 0 && cl.FirstToken > cl.Deadline {
			c.refuse(Class, n, "FirstToken", "is after the Deadline, so that it can never be missed or met", "lower FirstToken or raise Deadline")
		}
	}
	if floors > 1 {
		for n, cl := range c.s.Classes {
			if cl.Floor > 0 {
				c.refuse(Class, n, "Floor", fmt.Sprintf("the floors of all classes add up to %.3f", floors), "lower them to at most 1 in all")
			}
		}
	}
	for tier, names := range byTier {
		sort.Strings(names)
		for _, n := range names {
			if len(names) > 1 && !c.s.Classes[n].SharesTier {
				c.refuse(Class, n, "Tier", fmt.Sprintf("tier %d also holds %s", tier, strings.Join(others(names, n), ", ")), "set SharesTier on each or use another tier")
			}
		}
	}
}

func others(names []string, n string) []string {
	var out []string
	for _, o := range names {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

func (c *checker) routes() {
	taken := map[string]string{}
	names := slices.Sorted(maps.Keys(c.s.Routes))
	for _, n := range names {
		r := c.s.Routes[n]
		c.routeMatch(n, r, taken)
		if refer(c, Route, n, "Pool", r.Pool, Pool, c.s.Pools) {
			c.routePool(n, r, c.s.Pools[r.Pool])
		}
		c.unique(Route, n, "Organisations", r.Organisations)
		for _, o := range r.Organisations {
			refer(c, Route, n, "Organisations", o, Organisation, c.s.Organisations)
		}
		if r.Open && len(r.Organisations) > 0 {
			c.refuse(Route, n, "Open", "an open route also lists Organisations", "keep one of the two")
		}
		if len(r.Classes) == 0 {
			c.refuse(Route, n, "Classes", "is empty", "name at least one Class; the first is the default")
		}
		c.unique(Route, n, "Classes", r.Classes)
		for _, cl := range r.Classes {
			refer(c, Route, n, "Classes", cl, Class, c.s.Classes)
		}
		if r.Retry.Attempts < 0 || r.Retry.Budget < 0 {
			c.refuse(Route, n, "Retry", "is negative", "use zero for the default")
		}
		if !r.Idempotent && r.Retry.Attempts > 1 {
			c.refuse(Route, n, "Retry", "a route that is not idempotent asks for retries", "set Idempotent or leave Attempts out")
		}
	}
}

func (c *checker) routeMatch(n string, r *RouteSpec, taken map[string]string) {
	match := r.Path
	field := "Path"
	switch {
	case r.Model == "" && r.Path == "", r.Model != "" && r.Path != "":
		c.refuse(Route, n, "Model", "needs either Model or Path", "set one of the two")
		return
	case r.Model != "":
		match, field = "model "+r.Model, "Model"
	case !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/"):
		c.refuse(Route, n, "Path", "does not begin and end with a slash", "write it as /bookings/")
	case strings.HasPrefix(r.Path, "/v1/") || r.Path == "/":
		c.refuse(Route, n, "Path", "hides the model API under /v1/", "use another prefix")
	}
	if other, ok := taken[match]; ok {
		c.refuse(Route, n, field, fmt.Sprintf("Route %q has the same, so that this one is never reached", other), "remove one of the routes")
	}
	taken[match] = n
}

func (c *checker) routePool(n string, r *RouteSpec, p *PoolSpec) {
	if r.Model != "" && p.Protocol != Engine {
		c.refuse(Route, n, "Pool", "a model route leads to a pool that is not an Engine pool", "use a pool with Protocol Engine")
	}
	if r.Path != "" && p.Protocol != Service {
		c.refuse(Route, n, "Pool", "a path route leads to a pool that is not a Service pool", "use a pool with Protocol Service")
	}
	if r.Model == "" {
		return
	}
	for _, m := range p.Models {
		if m == r.Model {
			return
		}
	}
	c.refuse(Route, n, "Model", fmt.Sprintf("Pool %q does not list the model %q, so that no server can run it", r.Pool, r.Model), "add it to the pool's Models")
}

func (c *checker) pools() {
	servers := map[string]int{}
	for _, b := range c.s.BackendServers {
		servers[b.Pool]++
	}
	for n, p := range c.s.Pools {
		if p.Protocol == ProtocolUnknown {
			c.refuse(Pool, n, "Protocol", "is missing", "use Engine or Service")
		}
		if p.Concurrency < 1 {
			c.refuse(Pool, n, "Concurrency", "is below 1", "give the number of requests that a server runs well at once")
		}
		if p.MinServers < 0 || p.MaxServers < p.MinServers {
			c.refuse(Pool, n, "MaxServers", "is below MinServers", "raise MaxServers or lower MinServers")
		}
		if p.MaxReclaimable < 0 || p.MaxReclaimable > 1 {
			c.refuse(Pool, n, "MaxReclaimable", "is not between 0 and 1", "give a share, such as 0.5")
		}
		if servers[n] == 0 && p.MaxServers == 0 {
			c.warn(Pool, n, "MaxServers", "the pool has no server and may order none", "add a BackendServer or set MaxServers")
		}
	}
}

func (c *checker) servers() {
	at := map[string]string{}
	for n, b := range c.s.BackendServers {
		refer(c, BackendServer, n, "Pool", b.Pool, Pool, c.s.Pools)
		if b.Zone == "" {
			c.refuse(BackendServer, n, "Zone", "is missing", "name the server's availability zone")
		}
		if !b.Address.IsValid() {
			c.refuse(BackendServer, n, "Address", "is missing", "give an IP number and port, such as 10.0.0.7:8000")
			continue
		}
		if other, ok := at[b.Address.String()]; ok {
			c.refuse(BackendServer, n, "Address", fmt.Sprintf("is also that of BackendServer %q", other), "give each server its own address")
		}
		at[b.Address.String()] = n
		if b.Price < 0 || b.Speed < 0 {
			c.refuse(BackendServer, n, "Price", "Price or Speed is negative", "use zero or a positive number")
		}
	}
}

func (c *checker) limits() {
	for n, l := range c.s.Limits {
		if l.RequestsPerSecond < 0 || l.TokensPerMinute < 0 || l.Streams < 0 {
			c.refuse(Limit, n, "RequestsPerSecond", "a limit is negative", "use zero for no limit")
		}
	}
}
