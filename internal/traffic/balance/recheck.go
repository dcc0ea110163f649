package balance

import (
	"container/heap"
	"time"
)

// recheckHeap orders servers without room for all tiers by the time of their next recheck. It implements
// [heap.Interface].
type recheckHeap []*server

func (h recheckHeap) Len() int           { return len(h) }
func (h recheckHeap) Less(i, j int) bool { return h[i].recheckAt.Before(h[j].recheckAt) }

func (h recheckHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].recheckIndex, h[j].recheckIndex = i, j
}

// Push implements [heap.Interface].
func (h *recheckHeap) Push(x any) {
	v := x.(*server)
	v.recheckIndex = len(*h)
	*h = append(*h, v)
}

// Pop implements [heap.Interface].
func (h *recheckHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	v.recheckIndex = -1
	return v
}

// scheduleRecheck sets the time of the next recheck of v.
func (b *Balancer) scheduleRecheck(v *server, at time.Time) {
	v.recheckAt = at
	if v.recheckIndex < 0 {
		heap.Push(&b.rechecks, v)
		return
	}
	heap.Fix(&b.rechecks, v.recheckIndex)
}

// processTimers applies what changes with time alone: it drops expired peers and updates servers whose recheck is due.
func (b *Balancer) processTimers(now time.Time) {
	b.expirePeers(now)
	for range maxRechecksPerCall {
		if len(b.rechecks) == 0 || now.Before(b.rechecks[0].recheckAt) {
			return
		}
		b.update(now, heap.Pop(&b.rechecks).(*server))
	}
}
