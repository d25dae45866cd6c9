package core

import (
	"container/heap"
	"time"
)

// timerEntry is something at a time.
type timerEntry[T any] struct {
	at    time.Time
	seq   uint64 // those of one moment keep the order in which they came
	value T
}

// timerHeap is a heap of what comes at some time, the earliest first.
type timerHeap[T any] struct {
	heap timerEntries[T]
	seq  uint64
}

type timerEntries[T any] []timerEntry[T]

func (h timerEntries[T]) Len() int      { return len(h) }
func (h timerEntries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerEntries[T]) Less(i, j int) bool {
	if x := h[i].at.Compare(h[j].at); x != 0 {
		return x < 0
	}
	return h[i].seq < h[j].seq
}
func (h *timerEntries[T]) Push(x any) { *h = append(*h, x.(timerEntry[T])) }
func (h *timerEntries[T]) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timerEntry[T]{}
	*h = old[:len(old)-1]
	return x
}

func (b *timerHeap[T]) Len() int { return len(b.heap) }

func (b *timerHeap[T]) Push(at time.Time, what T) {
	b.seq++
	heap.Push(&b.heap, timerEntry[T]{at, b.seq, what})
}

// First returns the earliest; there must be one.
func (b *timerHeap[T]) First() (time.Time, T) { return b.heap[0].at, b.heap[0].value }

// Pop takes the earliest out.
func (b *timerHeap[T]) Pop() T { return heap.Pop(&b.heap).(timerEntry[T]).value }
