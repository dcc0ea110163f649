package bodybuffer_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"shallotramp/internal/engine/bodybuffer"
)

func TestReadAll(t *testing.T) {
	const limit = 1 << 20
	tests := map[string]struct {
		size, budget int
		want         error
	}{
		"an empty body":                         {0, 0, nil},
		"a small body without any budget":       {bodybuffer.FreeBytes - 1, 0, nil},
		"a larger body without any budget":      {bodybuffer.FreeBytes + 1, 0, bodybuffer.ErrNoMemory},
		"a larger body within the budget":       {100_000, 1 << 20, nil},
		"a body of the limit":                   {limit, 2 << 20, nil},
		"a body above the limit":                {limit + 1, 2 << 20, bodybuffer.ErrTooLarge},
		"a body above what is left of a budget": {limit, 500_000, bodybuffer.ErrNoMemory},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("x"), test.size)
			budget := bodybuffer.NewBudget(int64(test.budget))
			for range 3 { // A budget that is not returned would fail later rounds.
				buf := budget.NewBuffer()
				err := buf.ReadAll(iotest.HalfReader(bytes.NewReader(body)), limit)
				if !errors.Is(err, test.want) || err == nil && !bytes.Equal(buf.Bytes(), body) {
					t.Fatalf("%d bytes, error %v; want error %v", len(buf.Bytes()), err, test.want)
				}
				buf.Release()
			}
		})
	}
}

// TestBudgetOfManyBodies guards against bodies without end that are kept until the memory of the host is used up.
func TestBudgetOfManyBodies(t *testing.T) {
	const budgetBytes, bodies, limit = 4 << 20, 50, 1 << 20
	budget := bodybuffer.NewBudget(budgetBytes)
	var mu sync.Mutex
	total, refused := 0, 0
	var read, release sync.WaitGroup
	release.Add(1)
	for range bodies {
		read.Add(1)
		go func() {
			buf := budget.NewBuffer()
			err := buf.ReadAll(io.LimitReader(endless{}, limit), limit)
			mu.Lock()
			if err == nil {
				total += len(buf.Bytes())
			} else {
				refused++
				buf.Release()
			}
			mu.Unlock()
			read.Done()
			release.Wait()
			buf.Release()
		}()
	}
	read.Wait()
	if total > budgetBytes+bodies*bodybuffer.FreeBytes || total == 0 || refused == 0 {
		t.Errorf("%d bytes are buffered and %d bodies refused; the budget is %d bytes", total, refused, budgetBytes)
	}
	release.Done()
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
