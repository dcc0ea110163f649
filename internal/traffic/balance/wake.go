package balance

import (
	"container/heap"
	"time"
)

// wakeHeap orders servers without room by when to look at them again. It implements [heap.Interface].
type wakeHeap []*server

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakeIndex, h[j].wakeIndex = i, j
}

// Push implements [heap.Interface].
func (h *wakeHeap) Push(x any) {
	v := x.(*server)
	v.wakeIndex = len(*h)
	*h = append(*h, v)
}

// Pop implements [heap.Interface].
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	*h = (*h)[:last]
	v.wakeIndex = -1
	return v
}

// wake sets when to look at v again.
func (b *Balancer) wake(v *server, at time.Time) {
	v.wakeAt = at
	if v.wakeIndex < 0 {
		heap.Push(&b.wakes, v)
		return
	}
	heap.Fix(&b.wakes, v.wakeIndex)
}

// advance looks at servers whose time has come.
func (b *Balancer) advance(now time.Time) {
	b.expirePeers(now)
	for range wakesPerCall {
		if len(b.wakes) == 0 || now.Before(b.wakes[0].wakeAt) {
			return
		}
		b.update(now, heap.Pop(&b.wakes).(*server))
	}
}
