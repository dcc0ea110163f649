package release

import (
	"slices"
	"sort"
	"strings"
	"time"

	"shallotramp/internal/catalog/object"
)

// Snapshot is a release indexed for request routing. It is immutable.
type Snapshot struct {
	Number uint64
	Digest string
	Set    *object.Set

	keys   map[string]*object.KeySpec
	models map[string]*object.RouteSpec
	paths  []*object.RouteSpec
	pools  map[string][]*object.BackendServerSpec
}

// NewSnapshot indexes the content s of the release with this number.
func NewSnapshot(number uint64, digest string, s *object.Set) *Snapshot {
	sn := &Snapshot{
		Number: number, Digest: digest, Set: s,
		keys:   make(map[string]*object.KeySpec, len(s.Keys)),
		models: make(map[string]*object.RouteSpec, len(s.Routes)),
		pools:  make(map[string][]*object.BackendServerSpec, len(s.Pools)),
	}
	for _, k := range s.Keys {
		sn.keys[k.Digest] = k
	}
	for _, r := range s.Routes {
		if r.Model != "" {
			sn.models[r.Model] = r
			continue
		}
		sn.paths = append(sn.paths, r)
	}
	// Longer prefixes come first, so that PathRoute finds the longest match.
	sort.Slice(sn.paths, func(i, j int) bool { return len(sn.paths[i].Path) > len(sn.paths[j].Path) })
	for _, b := range s.BackendServers {
		sn.pools[b.Pool] = append(sn.pools[b.Pool], b)
	}
	for _, list := range sn.pools {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	return sn
}

// KeyByDigest returns the key with this digest, if it has not expired at now.
func (s *Snapshot) KeyByDigest(digest string, now time.Time) (*object.KeySpec, bool) {
	k, ok := s.keys[digest]
	if !ok || (!k.NotAfter.IsZero() && !now.Before(k.NotAfter)) {
		return nil, false
	}
	return k, true
}

// ModelRoute returns the route of a model.
func (s *Snapshot) ModelRoute(model string) (*object.RouteSpec, bool) {
	r, ok := s.models[model]
	return r, ok
}

// PathRoute returns the route whose Path is the longest prefix of path.
func (s *Snapshot) PathRoute(path string) (*object.RouteSpec, bool) {
	for _, r := range s.paths {
		if strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return nil, false
}

// Servers returns the configured backend servers of a pool, ordered by name. The caller must not change the slice.
func (s *Snapshot) Servers(pool string) []*object.BackendServerSpec { return s.pools[pool] }

// Models returns the models that the key's organisation may use, ordered by name. With a nil key it returns the models
// of open routes.
func (s *Snapshot) Models(k *object.KeySpec) []string {
	var out []string
	for m, r := range s.models {
		if Allows(r, k) {
			out = append(out, m)
		}
	}
	sort.Strings(out)
	return out
}

// Allows reports whether the route serves requests with the key k, or requests without a key if k is nil.
func Allows(r *object.RouteSpec, k *object.KeySpec) bool {
	if r.Open {
		return true
	}
	if k == nil {
		return false
	}
	return len(r.Organisations) == 0 || slices.Contains(r.Organisations, k.Organisation)
}

// ClassFor returns the class of a request: the requested one if the route and the key allow it or, if none is
// requested, the first class of the route that the key allows. It returns false if there is none.
func (s *Snapshot) ClassFor(r *object.RouteSpec, k *object.KeySpec, requested string) (*object.ClassSpec, bool) {
	for _, name := range r.Classes {
		if requested != "" && name != requested {
			continue
		}
		if k != nil && len(k.Classes) > 0 && !slices.Contains(k.Classes, name) {
			continue
		}
		c, ok := s.Set.Classes[name]
		return c, ok
	}
	return nil, false
}
