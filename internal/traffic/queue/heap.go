package queue

// Heap is a binary heap with the least element first. Elements learn their
// place, so that each can be fixed or removed in logarithmic time.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(v T, place int)
}

// NewHeap returns an empty Heap in the order of less. moved is told of each
// change of an element's place, and of -1 when it leaves; nil if nobody asks.
func NewHeap[T any](less func(a, b T) bool, moved func(v T, place int)) Heap[T] {
	if moved == nil {
		moved = func(T, int) {}
	}
	return Heap[T]{less: less, moved: moved}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Peek returns the least element. It panics on an empty heap.
func (h *Heap[T]) Peek() T { return h.items[0] }

// At returns the element at a place. The elements' order is that of a heap.
func (h *Heap[T]) At(place int) T { return h.items[place] }

// Push adds v.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	h.up(len(h.items) - 1)
}

// Pop removes and returns the least element.
func (h *Heap[T]) Pop() T { return h.Remove(0) }

// Fix restores the order after the element at place has changed.
func (h *Heap[T]) Fix(place int) {
	if !h.down(place) {
		h.up(place)
	}
}

// Remove takes out the element at place.
func (h *Heap[T]) Remove(place int) T {
	v, last := h.items[place], len(h.items)-1
	h.items[place] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if place < last {
		h.Fix(place)
	}
	h.moved(v, -1)
	return v
}

func (h *Heap[T]) up(i int) {
	v := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(v, h.items[parent]) {
			break
		}
		h.put(i, h.items[parent])
		i = parent
	}
	h.put(i, v)
}

// down moves the element at i towards the leaves and reports whether it moved.
func (h *Heap[T]) down(i int) bool {
	v, from := h.items[i], i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], v) {
			break
		}
		h.put(i, h.items[child])
		i = child
	}
	h.put(i, v)
	return i > from
}

func (h *Heap[T]) put(i int, v T) {
	h.items[i] = v
	h.moved(v, i)
}
