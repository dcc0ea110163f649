// Package wire defines the protobuf messages between hosts, their versions and bounds.
package wire

import (
	"bufio"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
)

//go:generate protoc --plugin=protoc-gen-go=protoc-gen-go.sh --go_out=. --go_opt=paths=source_relative fleet.proto

const (
	// Version is the newest version of the protocol that this program speaks, and OldestVersion
	// the oldest. A link opens when the ranges of both ends overlap.
	Version = 1
	// OldestVersion is the oldest version that this program still speaks.
	OldestVersion = 1
	// MaxMessageBytes bounds one message. A chunk is about 256 KiB before compression.
	MaxMessageBytes = 1 << 20
)

// VersionError is a host whose protocol does not overlap with ours.
type VersionError struct {
	Host            string
	Version, Oldest uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("host %q speaks versions %d to %d of the protocol and this host %d to %d; upgrade the older host",
		e.Host, e.Oldest, e.Version, OldestVersion, Version)
}

// MessageError is a message that cannot be read.
type MessageError struct {
	Cause error
}

func (e *MessageError) Error() string {
	return "a message between hosts is truncated, oversized or malformed: " + e.Cause.Error() + "; check that the peer is a host of shallotramp"
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// CheckVersion returns a [VersionError] if no version is common to both ends.
func CheckVersion(h *Hello) error {
	if h.GetVersion() < OldestVersion || h.GetOldestVersion() > Version || h.GetOldestVersion() > h.GetVersion() {
		return &VersionError{Host: h.GetHost().GetName(), Version: h.GetVersion(), Oldest: h.GetOldestVersion()}
	}
	return nil
}

// Read reads one message. The end of the stream between messages is [io.EOF]; all other failures are a [MessageError].
func Read(r *bufio.Reader) (*Envelope, error) {
	e := &Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(r, e)
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, io.EOF
	}
	return nil, &MessageError{Cause: err}
}

// Write writes one message and returns its bytes on the wire.
func Write(w io.Writer, e *Envelope) (int, error) {
	return protodelim.MarshalTo(w, e)
}
