package gateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"shallotramp/internal/catalog/object"
	"shallotramp/internal/catalog/release"
	"shallotramp/internal/traffic/request"
)

// bearer returns the key of a request, empty for none. Two keys are refused, for it
// would be unclear which one the request runs under.
func bearer(r *http.Request) (string, *Fault) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", &Fault{Kind: InvalidRequest, Code: "duplicate_header", Message: "the request has two Authorization headers", Remedy: "send one"}
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return "", &Fault{Kind: Unauthenticated, Code: "bad_authorization", Message: "the Authorization header is not of the form 'Bearer KEY'", Remedy: "send the API key as a bearer token"}
	}
	return strings.TrimSpace(key), nil
}

// authenticate finds the key object of a request. A nil key without a fault is a caller without a key.
func (g *Gateway) authenticate(r *http.Request, snap *release.Snapshot, now time.Time) (string, *object.KeySpec, *Fault) {
	secret, f := bearer(r)
	if f != nil || secret == "" {
		return "", nil, f
	}
	k, ok := snap.KeyOf(object.DigestOf(secret), now)
	if !ok {
		return "", nil, &Fault{Kind: Unauthenticated, Code: "unknown_key", Message: "the API key is unknown, withdrawn or expired", Remedy: "use a valid key or ask the operator for one"}
	}
	return secret, k, nil
}

// permit checks that the route serves the holder of the key.
func permit(r *object.RouteSpec, k *object.KeySpec) *Fault {
	switch {
	case release.Allows(r, k):
		return nil
	case k == nil:
		return &Fault{Kind: Unauthenticated, Code: "missing_key", Message: "the route needs an API key", Remedy: "send it as 'Authorization: Bearer KEY'"}
	}
	return &Fault{Kind: Forbidden, Code: "route_not_allowed", Message: "the organisation may not use this route", Remedy: "use another model or path, or ask the operator"}
}

// allowed checks an open or new call against the release in force, and returns why it must end.
func allowed(snap *release.Snapshot, confirmed time.Time, c *call, now time.Time) *Fault {
	route, ok := snap.Set.Routes[c.req.Route]
	if !ok {
		// The route is gone for new requests; this one was accepted under it and runs on.
		return nil
	}
	if c.digest == "" {
		if route.Open {
			return nil
		}
		return &Fault{Kind: Unauthenticated, Code: "missing_key", Message: "the route is no longer open", Remedy: "send an API key"}
	}
	k, ok := snap.KeyOf(c.digest, now)
	if !ok || k.Organisation != c.req.Organisation {
		return &Fault{Kind: Unauthenticated, Code: "key_withdrawn", Message: "the API key was withdrawn or has expired", Remedy: "use another key"}
	}
	if f := permit(route, k); f != nil {
		return f
	}
	if route.Open {
		return nil
	}
	return fresh(snap, confirmed, k, now)
}

// fresh refuses keyed work on a host that could not confirm its release for longer than
// the organisation's grace, for the key may have been withdrawn since.
func fresh(snap *release.Snapshot, confirmed time.Time, k *object.KeySpec, now time.Time) *Fault {
	grace := object.Duration(0)
	if o, ok := snap.Set.Organisations[k.Organisation]; ok {
		grace = o.CutOffGrace
	}
	if now.Sub(confirmed) <= grace.Or(object.DefaultCutOffGrace) {
		return nil
	}
	return &Fault{Kind: NotReady, Code: "cut_off", Message: "this host could not confirm its configuration for longer than the organisation's CutOffGrace", Remedy: "retry in another availability zone"}
}

// leaks reports whether the key stands in what would go to a backend server.
func leaks(secret string, u *url.URL, body []byte) bool {
	if secret == "" {
		return false
	}
	if bytes.Contains(body, []byte(secret)) || strings.Contains(u.Path, secret) {
		return true
	}
	q, err := url.QueryUnescape(u.RawQuery)
	return err != nil || strings.Contains(q, secret)
}

var leakFault = Fault{
	Kind: InvalidRequest, Code: "key_in_request", Message: "the API key stands in the path, query or body",
	Remedy: "send it only in the Authorization header; it must not reach a backend server", Ran: request.NotRun,
}

// hopHeaders are meant for one connection and never forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// credentialHeaders may carry a caller's credentials and never reach a backend server.
var credentialHeaders = map[string]bool{
	"Authorization": true, "Cookie": true, "Api-Key": true, "X-Api-Key": true, "X-Auth-Token": true,
	"Openai-Organization": true, "Openai-Project": true,
}

// forwardHeaders copies the headers of a caller that a backend server may see.
func forwardHeaders(from http.Header, secret string) http.Header {
	out := http.Header{}
	named := map[string]bool{}
	for _, v := range from.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for n, values := range from {
		if hopHeaders[n] || credentialHeaders[n] || named[n] || n == "Content-Length" || n == "Accept-Encoding" {
			continue
		}
		for _, v := range values {
			if secret == "" || !strings.Contains(v, secret) {
				out.Add(n, v)
			}
		}
	}
	return out
}
