package bodybuffer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// progressBytes is what a body must bring in progressTime to count as coming on. A caller on a slow link brings more.
	progressBytes = 4 << 10
	progressTime  = time.Second
	// maxMemoryWait is how long a body waits for memory that others give up, before its request is refused.
	maxMemoryWait = 2 * time.Second
	// waitStep is the time between two looks at the others while a body waits.
	waitStep = 100 * time.Millisecond
)

// ErrEvicted means that a body did not come on while others needed its memory.
var ErrEvicted = errors.New("the body did not come on and its memory was needed")

// Share is the part of a [Budget] that what callers send may use. What it leaves is for responses, which therefore find
// memory whatever callers send. Its methods are safe for concurrent use.
type Share struct {
	budget *Budget

	mu   sync.Mutex
	left int64
	// reading are the bodies that are not complete.
	reading map[*Body]bool
	// freed is closed and replaced when memory is given back.
	freed chan struct{}
}

// NewShare returns a Share of a number of bytes.
func (b *Budget) NewShare(bytes int64) *Share {
	return &Share{budget: b, left: bytes, reading: map[*Body]bool{}, freed: make(chan struct{})}
}

// Acquire takes n bytes, or returns false if they are not left.
func (s *Share) Acquire(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquireLocked(n)
}

func (s *Share) acquireLocked(n int64) bool {
	if n > s.left || !s.budget.acquire(n) {
		return false
	}
	s.left -= n
	return true
}

// Return gives n bytes back.
func (s *Share) Return(n int64) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returnLocked(n)
}

// setDrawn notes what b draws now and gives back what it drew before.
func (s *Share) setDrawn(b *Body, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := b.drawn
	b.drawn = n
	if old > 0 {
		s.returnLocked(old)
	}
}

func (s *Share) returnLocked(n int64) {
	s.left += n
	s.budget.left.Add(n)
	close(s.freed)
	s.freed = make(chan struct{})
}

// Body is the body of a caller's request, which draws from a [Share] as it arrives. One goroutine must use it and release it.
type Body struct {
	share *Share
	// interrupt ends a read that waits for the caller.
	interrupt func()
	bytes     []byte
	// drawn is guarded by the share's mutex.
	drawn int64
	// evicted is set by another body that needs the memory.
	evicted atomic.Bool
	// progressAt is when the last progressBytes had come, in nanoseconds since 1970, and progress how many have come since.
	progressAt atomic.Int64
	progress   int
}

// NewBody returns an empty body. The function interrupt is called at most once and must end a read of the body at once.
func (s *Share) NewBody(interrupt func()) *Body { return &Body{share: s, interrupt: interrupt} }

// Bytes returns the content of the body.
func (b *Body) Bytes() []byte { return b.bytes }

// Release returns the body's memory.
func (b *Body) Release() {
	b.bytes = nil
	b.share.setDrawn(b, 0)
}

// ReadAll reads r to its end. It returns [ErrTooLarge] beyond limit bytes, [ErrEvicted] if the body did not come on while
// others needed memory, and [ErrNoMemory] if there is no memory for it.
func (b *Body) ReadAll(r io.Reader, limit int64) error {
	b.progressAt.Store(time.Now().UnixNano())
	b.share.setReading(b, true)
	defer b.share.setReading(b, false)
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		b.noteProgress(n)
		switch {
		case err == io.EOF && int64(len(b.bytes)) > limit:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case b.evicted.Load():
			return ErrEvicted
		case err != nil:
			return err
		}
	}
}

func (b *Body) noteProgress(n int) {
	if b.progress += n; b.progress >= progressBytes {
		b.progress = 0
		b.progressAt.Store(time.Now().UnixNano())
	}
}

func (s *Share) setReading(b *Body, reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reading {
		s.reading[b] = true
		return
	}
	delete(s.reading, b)
}

// grow doubles the capacity, up to limit and one byte that shows that there are more. The old bytes count until they are
// copied.
func (b *Body) grow(limit int64) error {
	if int64(len(b.bytes)) > limit {
		return ErrTooLarge
	}
	size := max(2*int64(cap(b.bytes)), initialBytes)
	if size >= limit {
		size = limit + 1
	}
	need := max(0, size-FreeBytes)
	if need > 0 {
		if err := b.await(need); err != nil {
			return err
		}
	}
	next := make([]byte, len(b.bytes), size)
	copy(next, b.bytes)
	b.bytes = next
	b.share.setDrawn(b, need)
	return nil
}

// await takes n bytes. If they are not left, the largest body that does not come on is refused, and b waits for its memory.
func (b *Body) await(n int64) error {
	s := b.share
	end := time.Now().Add(maxMemoryWait)
	for {
		s.mu.Lock()
		if s.acquireLocked(n) {
			s.mu.Unlock()
			return nil
		}
		now := time.Now()
		if v := s.victimLocked(b, now); v != nil {
			v.evicted.Store(true)
			v.interrupt()
		}
		freed := s.freed
		s.mu.Unlock()
		if b.evicted.Load() {
			return ErrEvicted
		}
		if !now.Before(end) {
			return ErrNoMemory
		}
		t := time.NewTimer(waitStep)
		select {
		case <-freed:
		case <-t.C:
		}
		t.Stop()
		b.progressAt.Store(time.Now().UnixNano()) // It is the host that waits.
	}
}

// victimLocked returns the largest of the bodies that do not come on, or nil.
func (s *Share) victimLocked(not *Body, now time.Time) *Body {
	var victim *Body
	for o := range s.reading {
		if o == not || o.evicted.Load() || o.drawn == 0 || now.Sub(time.Unix(0, o.progressAt.Load())) < progressTime {
			continue
		}
		if victim == nil || o.drawn > victim.drawn {
			victim = o
		}
	}
	return victim
}
