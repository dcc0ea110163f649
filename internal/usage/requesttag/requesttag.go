// Package requesttag implements request tags, the ids that a host gives the requests that it sends to backend servers.
// A backend server counts usage by tag, so that the count can be assigned to the organisation even after the host that
// sent the request has failed.
package requesttag

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tag identifies a request of one incarnation of a host. Its text form is the request id that backend servers and
// callers see. It contains a hash of the organisation's name, so that the name is not disclosed.
type Tag struct {
	// Incarnation identifies the run of the host's process that sent the request, see [NewIncarnation].
	Incarnation string
	// Organisation is the hash of the organisation's name, see [HashOrganisation].
	Organisation uint64
	// Number is the number of the request in the incarnation. The first is 1.
	Number uint64
}

// HashOrganisation returns the hash of an organisation's name for use in tags.
func HashOrganisation(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// NewIncarnation returns the name of a run of a host's process that started at t. The salt distinguishes it from others
// that started in the same second.
func NewIncarnation(t time.Time, salt uint32) string {
	return fmt.Sprintf("%08x%08x", uint32(t.Unix()), salt)
}

// StartTime returns when the incarnation started, in whole seconds. It returns the zero time if the name contains no
// time.
func StartTime(incarnation string) time.Time {
	if len(incarnation) != 16 {
		return time.Time{}
	}
	n, err := strconv.ParseUint(incarnation[:8], 16, 32)
	if err != nil {
		return time.Time{}
	}
	return time.Unix(int64(n), 0)
}

// FormatError is returned for a text that is not a tag.
type FormatError struct{ Text string }

func (e *FormatError) Error() string {
	return fmt.Sprintf("request id %q is not a request tag; use the usage that the host itself recorded for the request", e.Text)
}

// String returns the text form, such as "0f3a...-9b1c...-2a".
func (t Tag) String() string {
	return fmt.Sprintf("%s-%016x-%x", t.Incarnation, t.Organisation, t.Number)
}

// Parse parses the text form of a tag.
func Parse(s string) (Tag, error) {
	parts := strings.Split(s, "-")
	if len(parts) != 3 || parts[0] == "" || len(parts[1]) != 16 {
		return Tag{}, &FormatError{s}
	}
	o, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Tag{}, &FormatError{s}
	}
	n, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil || n == 0 {
		return Tag{}, &FormatError{s}
	}
	return Tag{Incarnation: parts[0], Organisation: o, Number: n}, nil
}
