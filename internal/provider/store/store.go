// Package store reads and writes the objects in the platform's store, called platform objects. The API of the store
// follows the conventions of the Kubernetes API: each object has a resource version, a conditional update names the
// version that it replaces, and a watch streams the changes after a version. [Store] is the interface that the rest of
// the system uses; [Client] implements it with HTTP and JSON.
package store

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type Reason,EventType -output reason_string.go

// MaxValueBytes is the size of the largest object that the platform stores.
const MaxValueBytes = 1 << 20

// Object is one object of the platform. Version is opaque and set by the platform.
type Object struct {
	Kind    string
	Name    string
	Version string
	Spec    json.RawMessage
}

// EventType is the type of a change to a watched object.
type EventType uint8

// The event types.
const (
	Added EventType = iota
	Modified
	Deleted
	// Bookmark carries only a version; no object changed.
	Bookmark
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType
	Object Object
}

// Store is the platform's store of objects. All methods are safe for concurrent use.
type Store interface {
	// Get returns the object, or an [Error] with reason [NotFound].
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of the kind and the version of the list.
	List(ctx context.Context, kind string) ([]Object, string, error)
	// Create stores a new object, or fails with reason [Exists].
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces the object if its version is still o.Version, or fails with reason [Conflict].
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if its version is still o.Version. If o.Version is empty, it removes any version.
	Delete(ctx context.Context, o Object) error
	// Watch streams the changes after version to objects of the kind until ctx ends, the channel's buffer is full or
	// the platform ends the watch; then the channel is closed. An empty name watches all objects.
	Watch(ctx context.Context, kind, name, version string) (<-chan Event, error)
}

// Reason is the reason why a call failed.
type Reason uint8

// The reasons of failures.
const (
	// Unavailable means that the platform or the network failed before a response arrived. A write may or may not
	// have taken effect.
	Unavailable Reason = iota
	NotFound
	Exists
	Conflict
	TooLarge
	// Expired means that a watch starts from a version that the platform no longer has.
	Expired
	// Throttled means that the call was rejected by a rate limit and had no effect.
	Throttled
	Invalid
)

// Error reports a failed call.
type Error struct {
	Reason Reason
	Kind   string
	Name   string
	Cause  error
}

var remedies = map[Reason]string{
	Unavailable: "retry after a delay; before writing again, read the object",
	NotFound:    "check the name or create the object",
	Exists:      "read the object and update it",
	Conflict:    "read the object again and apply the change to the new version",
	TooLarge:    "split the object into parts of less than 1 MiB",
	Expired:     "list the objects again and watch from the version of the list",
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

// Failed reports whether err is an [Error] with reason r.
func Failed(err error, r Reason) bool {
	var e *Error
	return errors.As(err, &e) && e.Reason == r
}
