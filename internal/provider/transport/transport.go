// Package transport provides the HTTP transport of the clients of the platform and of other hosts.
package transport

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport is an [http.Transport] that closes its idle connections when a call times out. Connections can fall silent
// together without a reset. Each of them would otherwise be given to a later call, which would time out too.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.CloseIdleConnections()
	}
	return res, err
}
