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

// bearerKey returns the API key of a request, or "" if there is none. More than one Authorization header is
// rejected, because it would be ambiguous which key applies.
func bearerKey(r *http.Request) (string, *Fault) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", &Fault{Kind: InvalidRequest, Code: "duplicate_header", Message: "the request has more than one Authorization header", Remedy: "send exactly one"}
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return "", &Fault{Kind: Unauthenticated, Code: "bad_authorization", Message: "the Authorization header is not of the form 'Bearer KEY'", Remedy: "send the API key as a bearer token"}
	}
	return strings.TrimSpace(key), nil
}

// authenticate returns the API key of a request and its configuration. Both are empty, without a Fault, if the
// caller sent no key.
func (g *Gateway) authenticate(r *http.Request, snap *release.Snapshot, now time.Time) (string, *object.KeySpec, *Fault) {
	secret, f := bearerKey(r)
	if f != nil || secret == "" {
		return "", nil, f
	}
	k, ok := snap.KeyByDigest(object.DigestOf(secret), now)
	if !ok {
		return "", nil, &Fault{Kind: Unauthenticated, Code: "unknown_key", Message: "the API key is unknown, withdrawn or expired", Remedy: "use a valid key or ask the operator for one"}
	}
	return secret, k, nil
}

// checkPermission checks that the key k, or a caller without a key if k is nil, may use the route.
func checkPermission(r *object.RouteSpec, k *object.KeySpec) *Fault {
	switch {
	case release.Allows(r, k):
		return nil
	case k == nil:
		return &Fault{Kind: Unauthenticated, Code: "missing_key", Message: "the route requires an API key", Remedy: "send it as 'Authorization: Bearer KEY'"}
	}
	return &Fault{Kind: Forbidden, Code: "route_not_allowed", Message: "the organisation may not use this route", Remedy: "use another model or path, or ask the operator"}
}

// checkOpenCall checks a new or running call against the current configuration. It returns a Fault if the call
// must end.
func checkOpenCall(snap *release.Snapshot, confirmed time.Time, c *call, now time.Time) *Fault {
	route, ok := snap.Set.Routes[c.req.Route]
	if !ok {
		// A removed route rejects new requests. A request that was accepted before the removal may complete.
		return nil
	}
	if c.keyDigest == "" {
		if route.Open {
			return nil
		}
		return &Fault{Kind: Unauthenticated, Code: "missing_key", Message: "the route no longer accepts requests without an API key", Remedy: "send an API key"}
	}
	k, ok := snap.KeyByDigest(c.keyDigest, now)
	if !ok || k.Organisation != c.req.Organisation {
		return &Fault{Kind: Unauthenticated, Code: "key_withdrawn", Message: "the API key was withdrawn or has expired", Remedy: "use another key"}
	}
	if f := checkPermission(route, k); f != nil {
		return f
	}
	if route.Open {
		return nil
	}
	return checkConfirmation(snap, confirmed, k, now)
}

// checkConfirmation rejects requests with an API key if the host has not been able to confirm that its
// configuration is current for longer than the CutOffGrace of the organisation, because the key may have been
// withdrawn since.
func checkConfirmation(snap *release.Snapshot, confirmed time.Time, k *object.KeySpec, now time.Time) *Fault {
	grace := object.Duration(0)
	if o, ok := snap.Set.Organisations[k.Organisation]; ok {
		grace = o.CutOffGrace
	}
	if now.Sub(confirmed) <= grace.Or(object.DefaultCutOffGrace) {
		return nil
	}
	return &Fault{Kind: NotReady, Code: "cut_off", Message: "this host has not been able to confirm its configuration for longer than the CutOffGrace of the organisation", Remedy: "retry in another availability zone"}
}

// containsSecret reports whether the API key is in the path, query or body, which are forwarded to a backend
// server. It also reports true for a query that cannot be decoded and so cannot be checked.
func containsSecret(secret string, u *url.URL, body []byte) bool {
	if secret == "" {
		return false
	}
	if bytes.Contains(body, []byte(secret)) || strings.Contains(u.Path, secret) {
		return true
	}
	q, err := url.QueryUnescape(u.RawQuery)
	return err != nil || strings.Contains(q, secret)
}

var keyInRequestFault = Fault{
	Kind: InvalidRequest, Code: "key_in_request", Message: "the path, query or body contains the API key",
	Remedy: "send it only in the Authorization header; it must not reach a backend server", Ran: request.NotRun,
}

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// credentialHeaders may contain credentials of the caller and are never forwarded to a backend server.
var credentialHeaders = map[string]bool{
	"Authorization": true, "Cookie": true, "Api-Key": true, "X-Api-Key": true, "X-Auth-Token": true,
	"Openai-Organization": true, "Openai-Project": true,
}

// forwardHeaders returns the request headers that a backend server may see. It also drops every value that
// contains the API key.
func forwardHeaders(src http.Header, secret string) http.Header {
	out := http.Header{}
	connectionHeaders := map[string]bool{}
	for _, v := range src.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	for n, values := range src {
		if hopByHopHeaders[n] || credentialHeaders[n] || connectionHeaders[n] || n == "Content-Length" || n == "Accept-Encoding" {
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
