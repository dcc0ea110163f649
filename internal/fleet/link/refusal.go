package link

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/fleet/wire"
)

//go:generate go tool stringer -type Refusal -output refusal_string.go

// Refusal names why a link was not opened or was closed for what the peer sent.
type Refusal uint8

// The reasons of refusal.
const (
	// Unreachable peers did not answer in time.
	Unreachable Refusal = iota
	// BadCertificate peers have none that the authority signed, or an expired one.
	BadCertificate
	// WrongName peers say another name than their certificate.
	WrongName
	// BadVersion peers have no version of the protocol in common.
	BadVersion
	// BadMessage peers sent a truncated, oversized or malformed message.
	BadMessage
	// SelfDialled is a seed that names this host.
	SelfDialled
)

var remedies = map[Refusal]string{
	Unreachable:    "check the address and the network",
	BadCertificate: "give both hosts valid certificates of the same authority",
	WrongName:      "give the host a certificate of its own name",
	BadVersion:     "upgrade the older host",
	BadMessage:     "check that the peer is a host of shallotramp",
	SelfDialled:    "nothing needs to be done",
}

// RefusedError is a link that was refused.
type RefusedError struct {
	Reason Refusal
	Peer   string
	Cause  error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("link with %s refused, %s: %v; %s", e.Peer, e.Reason, e.Cause, remedies[e.Reason])
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// refuse wraps err of the handshake with the peer.
func refuse(peer string, reason Refusal, err error) error {
	var v *wire.VersionError
	var m *wire.MessageError
	switch {
	case errors.As(err, &v):
		reason = BadVersion
	case errors.As(err, &m):
		reason = BadMessage
	}
	return &RefusedError{Reason: reason, Peer: peer, Cause: err}
}
