// Package tag names requests so that a backend server's own count of a request
// can be booked for the right organisation without the host that sent it.
package tag

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Tag names one request of one host incarnation. Its text form is the request id
// that backend servers and callers see; it holds no organisation's name.
type Tag struct {
	// Incarnation names the run of the host's process that sent the request.
	Incarnation string
	// Organisation is the digest of the organisation's name, see [Digest].
	Organisation uint64
	// Number counts the requests of the incarnation from 1.
	Number uint64
}

// HashOrganisation returns the digest under which an organisation stands in tags.
func HashOrganisation(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// NewIncarnation names a run of a host's process that started at t, told from others by salt.
func NewIncarnation(t time.Time, salt uint32) string {
	return fmt.Sprintf("%08x%08x", uint32(t.Unix()), salt)
}

// StartTime returns when the incarnation began, to the second; zero for a name that holds no time.
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

// FormatError names the text that is no tag.
type FormatError struct{ Text string }

func (e *FormatError) Error() string {
	return fmt.Sprintf("request id %q is no tag of a host; count the request under its host instead", e.Text)
}

// String returns the text form, such as "0f3a...-9b1c...-2a".
func (t Tag) String() string {
	return fmt.Sprintf("%s-%016x-%x", t.Incarnation, t.Organisation, t.Number)
}

// Parse reads the text form.
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
