// Package bodybuffer bounds the memory of the responses that a host buffers before it forwards them. Faulty servers may
// send bodies without end, many at a time: a limit for each body does not bound their sum.
package bodybuffer

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// FreeBytes is the size up to which a body does not draw from the [Budget], so that ordinary responses are served while
// large ones have used it up.
const FreeBytes = 16 << 10

// initialBytes is the size of the first buffer of a body.
const initialBytes = 4 << 10

var (
	// ErrTooLarge means that a body is larger than the limit of a single one.
	ErrTooLarge = errors.New("the response of the backend server is too large")
	// ErrNoMemory means that the bodies that are buffered use the whole budget.
	ErrNoMemory = errors.New("the host has no memory left for a response of this size")
)

// Budget is the memory for all bodies of a host beyond their first [FreeBytes]. Its methods are safe for concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a Budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	b := &Budget{}
	b.left.Store(bytes)
	return b
}

func (b *Budget) acquire(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Buffer is a buffer that draws from a [Budget]. It must be used by one goroutine only, and released.
type Buffer struct {
	budget *Budget
	bytes  []byte
	// drawn is the part of the buffer's capacity that is drawn from the budget.
	drawn int64
}

// NewBuffer returns an empty buffer.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{budget: b} }

// Bytes returns the content of the buffer. The slice stays valid after [Buffer.Release], but the budget no longer counts it.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Release returns the buffer's memory to the budget.
func (b *Buffer) Release() {
	b.budget.left.Add(b.drawn)
	b.bytes, b.drawn = nil, 0
}

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) { b.bytes = b.bytes[:copy(b.bytes, b.bytes[n:])] }

// ReadOnce reads from r once and appends what it returns. The buffer holds at most limit bytes.
func (b *Buffer) ReadOnce(r io.Reader, limit int) error {
	if len(b.bytes) == cap(b.bytes) {
		if err := b.grow(limit); err != nil {
			return err
		}
	}
	n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return err
}

// ReadAll reads r to its end. The buffer holds at most limit bytes.
func (b *Buffer) ReadAll(r io.Reader, limit int) error {
	for {
		switch err := b.ReadOnce(r, limit); err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// grow doubles the capacity, up to limit. One byte more than limit shows that there are more.
func (b *Buffer) grow(limit int) error {
	if len(b.bytes) > limit {
		return ErrTooLarge
	}
	size := min(max(2*cap(b.bytes), initialBytes), limit+1)
	if size <= cap(b.bytes) {
		return ErrTooLarge
	}
	if more := int64(size) - FreeBytes - b.drawn; more > 0 {
		if !b.budget.acquire(more) {
			return ErrNoMemory
		}
		b.drawn += more
	}
	next := make([]byte, len(b.bytes), size)
	copy(next, b.bytes)
	b.bytes = next
	return nil
}
