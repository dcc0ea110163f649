// Package transport provides HTTP transports for the clients of the platform, of other hosts and of backend servers. They
// reject responses that are not valid HTTP/1.1.
package transport

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport is a [Checked] transport that closes its idle connections when a call times out. Connections can fall silent
// together without a reset. Each of them would otherwise be given to a later call, which would time out too.
type Transport struct{ *http.Transport }

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := Checked(t).RoundTrip(r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.CloseIdleConnections()
	}
	return res, err
}
