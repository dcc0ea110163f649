package queue

// Heap is a binary min-heap. It reports the index of each element through a callback, so
// that any element can be fixed or removed in logarithmic time.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(v T, index int)
}

// NewHeap returns an empty Heap ordered by less. The heap calls setIndex on each change of an
// element's index, with -1 when the element is removed. setIndex may be nil.
func NewHeap[T any](less func(a, b T) bool, setIndex func(v T, index int)) Heap[T] {
	if setIndex == nil {
		setIndex = func(T, int) {}
	}
	return Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Peek returns the least element. It panics if the heap is empty.
func (h *Heap[T]) Peek() T { return h.items[0] }

// At returns the element at index. The indexes follow the heap's layout, not the sorted order.
func (h *Heap[T]) At(index int) T { return h.items[index] }

// Push adds v.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	h.up(len(h.items) - 1)
}

// Pop removes and returns the least element.
func (h *Heap[T]) Pop() T { return h.Remove(0) }

// Fix restores the heap order after the element at index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

// Remove removes and returns the element at index.
func (h *Heap[T]) Remove(index int) T {
	v, last := h.items[index], len(h.items)-1
	h.items[index] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if index < last {
		h.Fix(index)
	}
	h.setIndex(v, -1)
	return v
}

// up moves the element at i towards the root.
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
	h.setIndex(v, i)
}
