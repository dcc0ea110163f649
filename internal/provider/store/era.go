package store

import (
	"sync/atomic"
	"time"
)

// Restorable is implemented by stores that may be restored from a copy.
type Restorable interface {
	// Era returns the newest era that a response has named, and when the first such response arrived. The era rises when
	// the store is restored from a copy, so the restoration was before that time.
	Era() (era int64, since time.Time)
}

// CurrentEra returns the era of a store as [Restorable.Era] does, or 0 if the store is never restored from a copy.
func CurrentEra(st Store) (era int64, since time.Time) {
	if r, ok := st.(Restorable); ok {
		return r.Era()
	}
	return 0, time.Time{}
}

// Eras remembers the newest era that the responses of a store have named. The zero value is ready to use. Its methods are
// safe for concurrent use.
type Eras struct {
	newest atomic.Pointer[eraStart]
}

// eraStart is an era and when the first response that named it arrived.
type eraStart struct {
	era   int64
	since time.Time
}

// Note notes that a response that arrived just now has named an era.
func (e *Eras) Note(era int64) {
	for {
		known := e.newest.Load()
		if known == nil && era <= 0 || known != nil && era <= known.era {
			return
		}
		if e.newest.CompareAndSwap(known, &eraStart{era, time.Now()}) {
			return
		}
	}
}

// Era implements [Restorable].
func (e *Eras) Era() (era int64, since time.Time) {
	if s := e.newest.Load(); s != nil {
		return s.era, s.since
	}
	return 0, time.Time{}
}
