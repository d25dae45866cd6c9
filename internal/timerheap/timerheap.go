package timerheap

import (
	"container/heap"
	"time"
)

type entry[T any] struct {
	at    time.Time
	seq   uint64 // insertion order
	value T
}

// Heap is a priority queue of values, the earliest first. The zero value is an empty heap.
type Heap[T any] struct {
	entries entries[T]
	seq     uint64 // of the last pushed entry
}

type entries[T any] []entry[T]

// Len implements heap.Interface.
func (h entries[T]) Len() int { return len(h) }

// Swap implements heap.Interface.
func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Less implements heap.Interface: the earlier entry first, then the one pushed first.
func (h entries[T]) Less(i, j int) bool {
	if x := h[i].at.Compare(h[j].at); x != 0 {
		return x < 0
	}
	return h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *entries[T]) Push(x any) { *h = append(*h, x.(entry[T])) }

// Pop implements heap.Interface.
func (h *entries[T]) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*h = old[:len(old)-1]
	return x
}

// Len returns the number of values in the heap.
func (h *Heap[T]) Len() int { return len(h.entries) }

// Push adds a value with a time. Values with equal times are popped in insertion order.
func (h *Heap[T]) Push(at time.Time, value T) {
	h.seq++
	heap.Push(&h.entries, entry[T]{at, h.seq, value})
}

// First returns the earliest value and its time. It panics if the heap is empty.
func (h *Heap[T]) First() (time.Time, T) { return h.entries[0].at, h.entries[0].value }

// Pop removes and returns the earliest value. It panics if the heap is empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.entries).(entry[T]).value }
