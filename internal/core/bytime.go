package core

import (
	"container/heap"
	"time"
)

// timed is something at a time.
type timed[T any] struct {
	at   time.Time
	seq  uint64 // those of one moment keep the order in which they came
	what T
}

// byTime is a heap of what comes at some time, the earliest first.
type byTime[T any] struct {
	heap timedHeap[T]
	seq  uint64
}

type timedHeap[T any] []timed[T]

func (h timedHeap[T]) Len() int      { return len(h) }
func (h timedHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timedHeap[T]) Less(i, j int) bool {
	if x := h[i].at.Compare(h[j].at); x != 0 {
		return x < 0
	}
	return h[i].seq < h[j].seq
}
func (h *timedHeap[T]) Push(x any) { *h = append(*h, x.(timed[T])) }
func (h *timedHeap[T]) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timed[T]{}
	*h = old[:len(old)-1]
	return x
}

func (b *byTime[T]) len() int { return len(b.heap) }

func (b *byTime[T]) push(at time.Time, what T) {
	b.seq++
	heap.Push(&b.heap, timed[T]{at, b.seq, what})
}

// first returns the earliest; there must be one.
func (b *byTime[T]) first() (time.Time, T) { return b.heap[0].at, b.heap[0].what }

// pop takes the earliest out.
func (b *byTime[T]) pop() T { return heap.Pop(&b.heap).(timed[T]).what }
