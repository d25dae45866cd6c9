package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// same reports whether two replicas hold the same records.
func same(a, b *Replica) bool {
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

func ten(Record) int { return 10 }

// TestStream: whatever changes while a snapshot is sent, and whichever lines are lost, repeated
// or swapped, the receiver has an equal replica, or the last complete one.
func TestStream(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 4))
		c := New(1, 7, "f/", 1000)
		change := func() (puts []Record, drops []string) {
			k := fmt.Sprintf("%c/%d", "jf"[rng.IntN(2)], rng.IntN(30))
			if _, ok := c.Get(k); ok && k[0] == 'j' && rng.IntN(2) == 0 { // bounded ones are never dropped
				c.Drop(k)
				drops = []string{k}
			} else {
				c.Put(k, rng.Uint64(), 9)
				r, _ := c.Get(k)
				puts = []Record{r}
			}
			c.Seq++
			return puts, drops
		}
		for range 40 {
			change()
		}
		var h Receiver
		session := uint64(1)
		s := NewSender(session, c)
		again := false
		var late *Line
		for step := range 200 {
			var l Line
			if part, more := s.NextSnapshotLine(c, 1+rng.IntN(5), 100, ten); more && rng.IntN(2) == 0 {
				l = part
			} else if more {
				// The part is lost on the way.
				again = true
				l = s.ChangeLine(c, nil, nil)
			} else {
				puts, drops := change()
				l = s.ChangeLine(c, puts, drops)
			}
			damaged := rng.IntN(9) == 0 && step < 150
			switch {
			case damaged && rng.IntN(2) == 0: // lost
				late = &l
			case damaged: // twice
				h.Receive(&l, "f/", 1000)
				fallthrough
			default:
				if late != nil && rng.IntN(3) == 0 {
					h.Receive(late, "f/", 1000)
					late = nil
				}
				again = h.Receive(&l, "f/", 1000) != nil || again
			}
			if again {
				session++
				s, again = NewSender(session, c), false
			}
		}
		for {
			l, more := s.NextSnapshotLine(c, 50, 100, ten)
			if !more {
				break
			}
			h.Receive(&l, "f/", 1000)
		}
		puts, drops := change()
		l := s.ChangeLine(c, puts, drops)
		if h.Receive(&l, "f/", 1000) != nil {
			s = NewSender(session+1, c)
			l, _ = s.NextSnapshotLine(c, 1000, 1<<20, ten)
			if err := h.Receive(&l, "f/", 1000); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if !same(h.Replica(), c) {
			t.Fatalf("seed %d: the copies differ", seed)
		}
	}
}

// TestBoundedRecords: of the bounded records the latest are kept and inherited by the next replica.
func TestBoundedRecords(t *testing.T) {
	a, b := New(1, 1, "f/", 3), New(1, 2, "f/", 3)
	for i := range 5 {
		a.Put(fmt.Sprint("f/", i), i, 1)
	}
	b.Put("f/9", 9, 1)
	b.InheritBounded(a)
	if got := b.Keys(""); !slices.Equal(got, []string{"f/3", "f/4", "f/9"}) {
		t.Errorf("%q", got)
	}
	old, next := New(1, 1, "f/", 3), Receiver{}
	s := NewSender(5, b)
	l, _ := s.NextSnapshotLine(b, 9, 100, ten)
	next.Receive(&l, "f/", 3)
	s = NewSender(6, old)
	l, _ = s.NextSnapshotLine(old, 9, 100, ten)
	if next.Receive(&l, "f/", 3); next.Replica().Term != 2 {
		t.Error("an older copy takes the place of a newer one")
	}
}

// TestSnapshotLineSize: no line is larger than asked for, however large the records, and none is empty
// while there is more.
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
			t.Fatalf("%d records of %d bytes", len(l.Puts), sum)
		}
	}
	if n != 50 {
		t.Errorf("%d records", n)
	}
}
