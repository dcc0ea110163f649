package link

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"shallotramp/internal/fleet/wire"
)

//go:generate go tool stringer -type Refusal -output refusal_string.go

// Refusal is why a link was not opened, or was closed because of what the peer sent.
type Refusal uint8

// The reasons of refusal.
const (
	// Unreachable means that the peer could not be connected to or did not answer in time.
	Unreachable Refusal = iota
	// BadCertificate means that a certificate is missing, expired or not signed by a trusted authority.
	BadCertificate
	// WrongName means that the peer's hello gives a name that its certificate does not cover.
	WrongName
	// BadVersion means that the two hosts have no protocol version in common.
	BadVersion
	// BadMessage means that the peer sent a truncated, oversized or malformed message.
	BadMessage
	// SelfDialled means that the peer is this host, as when its own address is among the seeds.
	SelfDialled
)

// remedies are what an operator can do, as they appear in error messages.
var remedies = map[Refusal]string{
	Unreachable:    "check the peer's address and the network",
	BadCertificate: "give both hosts valid certificates of the same certificate authority",
	WrongName:      "give the peer a certificate for its own name",
	BadVersion:     "upgrade the older host",
	BadMessage:     "check that the peer is a shallotramp host",
	SelfDialled:    "no action is needed",
}

// RefusedError reports a link that was not opened.
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

// newRefusedError wraps an error of opening a link. A wire error in err takes precedence over reason.
func newRefusedError(peer string, reason Refusal, err error) error {
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
