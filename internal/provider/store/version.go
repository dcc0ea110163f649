package store

import "strconv"

// revisionBits is the size of the part of a version that counts the changes of an era. The era is in the bits above.
const revisionBits = 40

// maxEra is the largest era that a version can hold.
const maxEra = 1<<(63-revisionBits) - 1

// FormatVersion returns the version of a state of a store whose revisions start again from a lower number when the store
// is restored from a copy. The parameter era rises with each restoration. Versions are decimal numbers, and that of a
// later era is greater than all of an earlier one.
func FormatVersion(era, revision int64) string {
	return strconv.FormatInt(min(max(era, 0), maxEra)<<revisionBits|revision&(1<<revisionBits-1), 10)
}

// ParseVersion returns the parts of a version made by [FormatVersion], and false if v is not such a version.
func ParseVersion(v string) (era, revision int64, ok bool) {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 {
		return 0, 0, false
	}
	return n >> revisionBits, n & (1<<revisionBits - 1), true
}

// EraOf returns the era of a version, or 0 if it has none.
func EraOf(v string) int64 {
	era, _, _ := ParseVersion(v)
	return era
}
