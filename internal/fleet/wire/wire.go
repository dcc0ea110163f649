// Package wire defines the protobuf messages between hosts, the protocol versions and the size limits.
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
	// Version is the newest protocol version that this program supports. A link opens only if the
	// ranges from OldestVersion to Version of the two hosts overlap.
	Version = 1
	// OldestVersion is the oldest protocol version that this program supports.
	OldestVersion = 1
	// MaxMessageBytes is the maximum size of a message. It leaves room for a chunk, which is about 256 KiB before
	// compression.
	MaxMessageBytes = 1 << 20
)

// VersionError reports a host that has no protocol version in common with this one.
type VersionError struct {
	Host            string
	Version, Oldest uint32
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("host %q supports protocol versions %d to %d and this host %d to %d; upgrade the older host",
		e.Host, e.Oldest, e.Version, OldestVersion, Version)
}

// MessageError reports a message that cannot be read.
type MessageError struct {
	Cause error
}

func (e *MessageError) Error() string {
	return "cannot read a message from another host, it is truncated, oversized or malformed: " + e.Cause.Error() + "; check that the peer is a shallotramp host"
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// CheckVersion returns a [VersionError] if this program supports none of the versions that h offers.
func CheckVersion(h *Hello) error {
	if h.GetVersion() < OldestVersion || h.GetOldestVersion() > Version || h.GetOldestVersion() > h.GetVersion() {
		return &VersionError{Host: h.GetHost().GetName(), Version: h.GetVersion(), Oldest: h.GetOldestVersion()}
	}
	return nil
}

// Read reads one message. It returns [io.EOF] if the stream ends between messages and a [MessageError] for all other
// failures.
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

// Write writes one message and returns the number of bytes written.
func Write(w io.Writer, e *Envelope) (int, error) {
	return protodelim.MarshalTo(w, e)
}
