package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func haveSameRecords(a, b *Replica) bool {
	if a == nil || b == nil || !slices.Equal(a.Keys(""), b.Keys("")) {
		return false
	}
	for _, k := range a.Keys("") {
		x, _ := a.Get(k)
		y, _ := b.Get(k)
		if x.Value != y.Value {
			return false
		}
	}
	return true
}

func fixedSize(Record) int { return 10 }

// TestStream checks that a receiver's replica equals the sender's although records change during
// the snapshot and lines are lost, duplicated or reordered.
func TestStream(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		source := New(1, 7, "f/", 1000)
		change := func() (puts []Record, deletes []string) {
			key := fmt.Sprintf("%c/%d", "jf"[rng.IntN(2)], rng.IntN(30))
			if _, ok := source.Get(key); ok && key[0] == 'j' && rng.IntN(2) == 0 { // bounded records are never deleted
				source.Delete(key)
				deletes = []string{key}
			} else {
				source.Put(key, rng.Uint64(), 9)
				rec, _ := source.Get(key)
				puts = []Record{rec}
			}
			source.Seq++
			return puts, deletes
		}
		for range 40 {
			change()
		}
		var receiver Receiver
		session := uint64(1)
		sender := NewSender(session, source)
		restart := false
		var delayed *Line
		for step := range 200 {
			var line Line
			if snapshotLine, more := sender.NextSnapshotLine(source, 1+rng.IntN(5), 100, fixedSize); more && rng.IntN(2) == 0 {
				line = snapshotLine
			} else if more {
				// This part of the snapshot is lost in transit.
				restart = true
				line = sender.ChangeLine(source, nil, nil)
			} else {
				puts, deletes := change()
				line = sender.ChangeLine(source, puts, deletes)
			}
			damaged := rng.IntN(9) == 0 && step < 150
			switch {
			case damaged && rng.IntN(2) == 0: // lost or delayed
				delayed = &line
			case damaged: // duplicated
				receiver.Receive(&line, "f/", 1000)
				fallthrough
			default:
				if delayed != nil && rng.IntN(3) == 0 {
					receiver.Receive(delayed, "f/", 1000)
					delayed = nil
				}
				restart = receiver.Receive(&line, "f/", 1000) != nil || restart
			}
			if restart {
				session++
				sender, restart = NewSender(session, source), false
			}
		}
		for {
			line, more := sender.NextSnapshotLine(source, 50, 100, fixedSize)
			if !more {
				break
			}
			receiver.Receive(&line, "f/", 1000)
		}
		puts, deletes := change()
		line := sender.ChangeLine(source, puts, deletes)
		if receiver.Receive(&line, "f/", 1000) != nil {
			sender = NewSender(session+1, source)
			line, _ = sender.NextSnapshotLine(source, 1000, 1<<20, fixedSize)
			if err := receiver.Receive(&line, "f/", 1000); err != nil {
				t.Fatalf("seed %d: Receive of the whole snapshot: %v", seed, err)
			}
		}
		if !haveSameRecords(receiver.Replica(), source) {
			t.Fatalf("seed %d: the receiver's replica differs from the sender's", seed)
		}
	}
}

// TestBoundedRecords checks that the latest bounded records are kept and inherited by the next
// replica, and that a replica of an earlier term does not replace one of a later term.
func TestBoundedRecords(t *testing.T) {
	a, b := New(1, 1, "f/", 3), New(1, 2, "f/", 3)
	for i := range 5 {
		a.Put(fmt.Sprint("f/", i), i, 1)
	}
	b.Put("f/9", 9, 1)
	b.InheritBounded(a)
	if got := b.Keys(""); !slices.Equal(got, []string{"f/3", "f/4", "f/9"}) {
		t.Errorf("keys are %q, want the latest 3", got)
	}
	old, next := New(1, 1, "f/", 3), Receiver{}
	s := NewSender(5, b)
	l, _ := s.NextSnapshotLine(b, 9, 100, fixedSize)
	next.Receive(&l, "f/", 3)
	s = NewSender(6, old)
	l, _ = s.NextSnapshotLine(old, 9, 100, fixedSize)
	if next.Receive(&l, "f/", 3); next.Replica().Term != 2 {
		t.Error("a replica of term 1 replaced one of term 2")
	}
}

// TestSnapshotLineSize checks that snapshot lines respect the limits on records and bytes, except
// for a single larger record, and that only the last is empty.
func TestSnapshotLineSize(t *testing.T) {
	c := New(1, 1, "f/", 3)
	for i := range 50 {
		c.Put(fmt.Sprintf("m/%02d", i), 1+i*7%40, 1)
	}
	s, n := NewSender(5, c), 0
	for {
		l, more := s.NextSnapshotLine(c, 20, 64, func(r Record) int { return r.Value.(int) })
		if !more {
			break
		}
		sum := 0
		for _, r := range l.Puts {
			sum += r.Value.(int)
		}
		if n += len(l.Puts); len(l.Puts) == 0 || len(l.Puts) > 1 && sum > 64 || len(l.Puts) > 20 {
			t.Fatalf("line has %d records of %d bytes in total, limits are 20 and 64", len(l.Puts), sum)
		}
	}
	if n != 50 {
		t.Errorf("snapshot has %d records, want 50", n)
	}
}
