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
	// Warning findings are reported but do not prevent publication.
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

// Check validates s as a whole and returns all findings, ordered by kind, name and field.
func (s *Set) Check() []Finding {
	c := &checker{s: s}
	c.checkOrganisations()
	c.checkKeys()
	c.checkClasses()
	c.checkRoutes()
	c.checkPools()
	c.checkServers()
	c.checkLimits()
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		if a.Name != b.Name {
			return a.Name < b.Name
		}
		return a.Field < b.Field
	})
	return c.findings
}

type checker struct {
	s        *Set
	findings []Finding
}

func (c *checker) refuse(k Kind, name, field, problem, remedy string) {
	c.findings = append(c.findings, Finding{Refusal, k, name, field, problem, remedy})
}

func (c *checker) warn(k Kind, name, field, problem, remedy string) {
	c.findings = append(c.findings, Finding{Warning, k, name, field, problem, remedy})
}

// checkReference checks that target names an object of m, and reports whether it does.
func checkReference[T any](c *checker, k Kind, name, field, target string, to Kind, m map[string]*T) bool {
	if _, ok := m[target]; ok {
		return true
	}
	c.refuse(k, name, field, fmt.Sprintf("refers to %s %q, which does not exist", to, target),
		fmt.Sprintf("add the %s or correct the name", to))
	return false
}

// checkUnique checks that a list of references has no duplicates.
func (c *checker) checkUnique(k Kind, name, field string, list []string) {
	seen := map[string]bool{}
	for _, v := range list {
		if seen[v] {
			c.refuse(k, name, field, fmt.Sprintf("lists %q twice", v), "remove one")
		}
		seen[v] = true
	}
}

func (c *checker) checkOrganisations() {
	for n, o := range c.s.Organisations {
		if o.Weight < 0 {
			c.refuse(Organisation, n, "Weight", "is negative", "use a positive number or leave it out")
		}
		if o.CutOffGrace < 0 {
			c.refuse(Organisation, n, "CutOffGrace", "is negative", "use a duration such as 10m")
		}
		if o.Limit != "" {
			checkReference(c, Organisation, n, "Limit", o.Limit, Limit, c.s.Limits)
		}
	}
}

func (c *checker) checkKeys() {
	keyByDigest := map[string]string{}
	names := slices.Sorted(maps.Keys(c.s.Keys))
	for _, n := range names {
		k := c.s.Keys[n]
		checkReference(c, Key, n, "Organisation", k.Organisation, Organisation, c.s.Organisations)
		b, err := hex.DecodeString(k.Digest)
		if err != nil || len(b) != 32 || k.Digest != strings.ToLower(k.Digest) {
			c.refuse(Key, n, "Digest", "is not a lower-case hexadecimal SHA-256", "use 'shallotramp key grant', which prints the key once and publishes its digest")
			continue
		}
		if other, ok := keyByDigest[k.Digest]; ok {
			c.refuse(Key, n, "Digest", fmt.Sprintf("is also the digest of Key %q", other), "give each Key its own digest, so that it can be withdrawn separately")
		}
		keyByDigest[k.Digest] = n
		c.checkUnique(Key, n, "Classes", k.Classes)
		for _, cl := range k.Classes {
			checkReference(c, Key, n, "Classes", cl, Class, c.s.Classes)
		}
	}
}

func (c *checker) checkClasses() {
	byTier := map[int][]string{}
	var floorSum float64
	for n, cl := range c.s.Classes {
		byTier[cl.Tier] = append(byTier[cl.Tier], n)
		floorSum += cl.Floor
		if cl.Tier < 1 {
			c.refuse(Class, n, "Tier", "is below 1", "number tiers from 1; tier 1 is served first")
		}
		if cl.Floor < 0 || cl.Floor > 1 {
			c.refuse(Class, n, "Floor", "is not between 0 and 1", "use a share of capacity, such as 0.05")
		}
		if cl.FirstToken < 0 || cl.BetweenTokens < 0 || cl.Deadline < 0 {
			c.refuse(Class, n, "FirstToken", "a latency target or deadline is negative", "use durations such as 790ms")
		}
		if cl.FirstToken > 0 && cl.Deadline > 0 && cl.FirstToken > cl.Deadline {
			c.refuse(Class, n, "FirstToken", "is longer than the Deadline, so a request ends before the target can be missed", "lower FirstToken or raise Deadline")
		}
	}
	if floorSum > 1 {
		for n, cl := range c.s.Classes {
			if cl.Floor > 0 {
				c.refuse(Class, n, "Floor", fmt.Sprintf("the floors of all classes add up to %.3f", floorSum), "lower them so that their sum is at most 1")
			}
		}
	}
	for tier, names := range byTier {
		sort.Strings(names)
		for _, n := range names {
			if len(names) > 1 && !c.s.Classes[n].SharesTier {
				c.refuse(Class, n, "Tier", fmt.Sprintf("tier %d is also used by %s", tier, strings.Join(without(names, n), ", ")), "set SharesTier on each of these classes or use another tier")
			}
		}
	}
}

func without(names []string, n string) []string {
	var out []string
	for _, o := range names {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

func (c *checker) checkRoutes() {
	routeByMatch := map[string]string{}
	names := slices.Sorted(maps.Keys(c.s.Routes))
	for _, n := range names {
		r := c.s.Routes[n]
		c.checkRouteMatch(n, r, routeByMatch)
		if checkReference(c, Route, n, "Pool", r.Pool, Pool, c.s.Pools) {
			c.checkRoutePool(n, r, c.s.Pools[r.Pool])
		}
		c.checkUnique(Route, n, "Organisations", r.Organisations)
		for _, o := range r.Organisations {
			checkReference(c, Route, n, "Organisations", o, Organisation, c.s.Organisations)
		}
		if r.Open && len(r.Organisations) > 0 {
			c.refuse(Route, n, "Open", "an open route also lists Organisations", "keep one of the two")
		}
		if len(r.Classes) == 0 {
			c.refuse(Route, n, "Classes", "is empty", "list at least one Class; the first is the default")
		}
		c.checkUnique(Route, n, "Classes", r.Classes)
		for _, cl := range r.Classes {
			checkReference(c, Route, n, "Classes", cl, Class, c.s.Classes)
		}
		if r.Retry.Attempts < 0 || r.Retry.Budget < 0 {
			c.refuse(Route, n, "Retry", "is negative", "use zero for the default")
		}
		if !r.Idempotent && r.Retry.Attempts > 1 {
			c.refuse(Route, n, "Retry", "only an idempotent route may be retried", "set Idempotent or leave Attempts out")
		}
	}
}

func (c *checker) checkRouteMatch(n string, r *RouteSpec, routeByMatch map[string]string) {
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
		c.refuse(Route, n, "Path", "conflicts with the model API under /v1/", "use another prefix")
	}
	if other, ok := routeByMatch[match]; ok {
		c.refuse(Route, n, field, fmt.Sprintf("is also that of Route %q, so one of the two routes would get no requests", other), "remove one of the routes")
	}
	routeByMatch[match] = n
}

func (c *checker) checkRoutePool(n string, r *RouteSpec, p *PoolSpec) {
	if r.Model != "" && p.Protocol != Engine {
		c.refuse(Route, n, "Pool", "the pool of a model route is not an Engine pool", "use a pool with Protocol Engine")
	}
	if r.Path != "" && p.Protocol != Service {
		c.refuse(Route, n, "Pool", "the pool of a path route is not a Service pool", "use a pool with Protocol Service")
	}
	if r.Model == "" {
		return
	}
	for _, m := range p.Models {
		if m == r.Model {
			return
		}
	}
	c.refuse(Route, n, "Model", fmt.Sprintf("Pool %q does not list the model %q, so no server of the pool can run it", r.Pool, r.Model), "add it to the pool's Models")
}

func (c *checker) checkPools() {
	servers := map[string]int{}
	for _, b := range c.s.BackendServers {
		servers[b.Pool]++
	}
	for n, p := range c.s.Pools {
		if p.Protocol == ProtocolUnknown {
			c.refuse(Pool, n, "Protocol", "is missing", "use Engine or Service")
		}
		if p.Concurrency < 1 {
			c.refuse(Pool, n, "Concurrency", "is below 1", "set the number of requests that a server can run at once")
		}
		if p.MinServers < 0 || p.MaxServers < p.MinServers {
			c.refuse(Pool, n, "MaxServers", "is below MinServers", "raise MaxServers or lower MinServers")
		}
		if p.MaxReclaimable < 0 || p.MaxReclaimable > 1 {
			c.refuse(Pool, n, "MaxReclaimable", "is not between 0 and 1", "use a share, such as 0.5")
		}
		if servers[n] == 0 && p.MaxServers == 0 {
			c.warn(Pool, n, "MaxServers", "the pool has no servers and MaxServers allows none to be started", "add a BackendServer or set MaxServers")
		}
	}
}

func (c *checker) checkServers() {
	serverByAddress := map[string]string{}
	for n, b := range c.s.BackendServers {
		checkReference(c, BackendServer, n, "Pool", b.Pool, Pool, c.s.Pools)
		if b.Zone == "" {
			c.refuse(BackendServer, n, "Zone", "is missing", "set the server's availability zone")
		}
		if !b.Address.IsValid() {
			c.refuse(BackendServer, n, "Address", "is missing", "use an IP address and port, such as 10.0.0.7:8000")
			continue
		}
		if other, ok := serverByAddress[b.Address.String()]; ok {
			c.refuse(BackendServer, n, "Address", fmt.Sprintf("is also the address of BackendServer %q", other), "give each server its own address")
		}
		serverByAddress[b.Address.String()] = n
		if b.Price < 0 || b.Speed < 0 {
			c.refuse(BackendServer, n, "Price", "Price or Speed is negative", "use zero or a positive number")
		}
	}
}

func (c *checker) checkLimits() {
	for n, l := range c.s.Limits {
		if l.RequestsPerSecond < 0 || l.TokensPerMinute < 0 || l.Streams < 0 {
			c.refuse(Limit, n, "RequestsPerSecond", "a limit is negative", "use zero for no limit")
		}
	}
}
