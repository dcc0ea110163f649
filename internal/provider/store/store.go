// Package store reads and writes objects of the platform's object API, which
// follows the conventions of the Kubernetes API: each object has a resource
// version, an update names the version it replaces, and a watch streams changes
// from a version on. [Store] is the interface that the rest of the system uses;
// [Client] speaks HTTP and JSON.
package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type Reason,EventType -output reason_string.go

// MaxValueBytes is the largest object that the platform keeps.
const MaxValueBytes = 1 << 20

// Object is one object of the platform. Version is opaque and set by the platform.
type Object struct {
	Kind    string
	Name    string
	Version string
	Spec    json.RawMessage
}

// EventType tells what happened to a watched object.
type EventType uint8

// The types of events.
const (
	Added EventType = iota
	Modified
	Deleted
	// Bookmark carries only a version; no object changed.
	Bookmark
)

// Event is one change seen by a watch.
type Event struct {
	Type   EventType
	Object Object
}

// Store is the platform's object API. All methods are safe for concurrent use.
type Store interface {
	// Get returns the object, or an [Error] with reason [NotFound].
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of the kind and the version of the list.
	List(ctx context.Context, kind string) ([]Object, string, error)
	// Create stores a new object, or fails with reason [Exists].
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the object if its version is still o.Version, or fails with reason [Conflict].
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its version is still o.Version; an empty version removes any.
	Delete(ctx context.Context, o Object) error
	// Watch streams changes of the kind after version until ctx ends, the channel's
	// buffer is full or the platform breaks off; then the channel is closed. An empty name watches all objects.
	Watch(ctx context.Context, kind, name, version string) (<-chan Event, error)
}

// Reason tells why a call failed.
type Reason uint8

// The reasons of failure.
const (
	// Unavailable is a failure of the platform or the network before an answer:
	// a write may have taken effect or not.
	Unavailable Reason = iota
	NotFound
	Exists
	Conflict
	TooLarge
	// Expired is a watch from a version that the platform no longer has.
	Expired
	// Throttled calls were refused for their rate and had no effect.
	Throttled
	Invalid
)

// Error is a failed call.
type Error struct {
	Reason Reason
	Kind   string
	Name   string
	Cause  error
}

var remedies = map[Reason]string{
	Unavailable: "retry after a delay; read the object again before a second write",
	NotFound:    "check the name or create the object",
	Exists:      "read the object and update it",
	Conflict:    "read the object again and repeat the change on the new version",
	TooLarge:    "split the object below 1 MiB",
	Expired:     "list the objects again and watch from the list's version",
	Throttled:   "retry after a delay; nothing was written",
	Invalid:     "correct the object",
}

func (e *Error) Error() string {
	s := fmt.Sprintf("platform object %s %q: %s", e.Kind, e.Name, e.Reason)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s + "; " + remedies[e.Reason]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Failed reports whether err is an [Error] with the reason.
func Failed(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}
