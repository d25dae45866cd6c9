package bitset

import (
	"encoding/base64"
	"encoding/binary"
	"math/bits"
	"strconv"
	"strings"
)

// Set is a set of small non-negative numbers, stored as a bitmap. Its capacity is fixed by New.
type Set []uint64

// New returns an empty set for numbers below n, rounded up to a multiple of 64.
func New(n int) Set { return make(Set, (n+63)/64) }

// Has reports whether i is in the set. It panics if i is beyond the capacity.
func (b Set) Has(i int) bool { return b[i/64]&(1<<(i%64)) != 0 }

// Add adds i to the set. It panics if i is beyond the capacity.
func (b Set) Add(i int) { b[i/64] |= 1 << (i % 64) }

// Remove removes i from the set. It panics if i is beyond the capacity.
func (b Set) Remove(i int) { b[i/64] &^= 1 << (i % 64) }

// First returns the lowest member, or -1 if the set is empty.
func (b Set) First() int {
	for w, x := range b {
		if x != 0 {
			return w*64 + bits.TrailingZeros64(x)
		}
	}
	return -1
}

// ChunkSize is the number of tasks that one progress record covers. It keeps an encoded chunk
// below the store's value size limit.
const ChunkSize = 16384

// EncodeChunk encodes the members in [from, from+ChunkSize) relative to from, either as ranges
// like "0-5,9" or as a bitmap like "=base64", whichever is shorter.
func (b Set) EncodeChunk(from int) string {
	words := b[from/64 : min(len(b), (from+ChunkSize)/64)]
	var sb strings.Builder
	n := len(words) * 64
	limit := base64.RawStdEncoding.EncodedLen(len(words)*8) + 1
	for i := 0; i < n && sb.Len() <= limit; {
		if words[i/64] == 0 {
			i = (i/64 + 1) * 64
			continue
		}
		if !words.Has(i) {
			i++
			continue
		}
		j := i
		for j+1 < n && words.Has(j+1) {
			j++
		}
		if sb.Len() > 0 {
			sb.WriteByte(',')
		}
		sb.WriteString(strconv.Itoa(i))
		if j > i {
			sb.WriteByte('-')
			sb.WriteString(strconv.Itoa(j))
		}
		i = j + 1
	}
	if sb.Len() <= limit {
		return sb.String()
	}
	raw := make([]byte, 0, len(words)*8)
	for _, w := range words {
		raw = binary.LittleEndian.AppendUint64(raw, w)
	}
	return "=" + base64.RawStdEncoding.EncodeToString(raw)
}

// DecodeChunk adds the members that EncodeChunk encoded. If s is malformed, it returns false and
// adds none, so that a damaged record marks no task as complete.
func (b Set) DecodeChunk(from, tasks int, s string) bool {
	read := New(ChunkSize)
	if !read.decode(min(ChunkSize, tasks-from), s) {
		return false
	}
	for i, w := range read {
		if w != 0 {
			b[from/64+i] |= w
		}
	}
	return true
}

// decode adds the members encoded in s. If s is malformed or has a member of n or more, it returns
// false and may have added some members.
func (b Set) decode(n int, s string) bool {
	add := func(i int) bool {
		if i < 0 || i >= n {
			return false
		}
		b.Add(i)
		return true
	}
	if s == "" {
		return true
	}
	if s[0] == '=' {
		raw, err := base64.RawStdEncoding.DecodeString(s[1:])
		if err != nil || len(raw)%8 != 0 {
			return false
		}
		for w := 0; w < len(raw)/8; w++ {
			x := binary.LittleEndian.Uint64(raw[w*8:])
			for ; x != 0; x &= x - 1 {
				if !add(w*64 + bits.TrailingZeros64(x)) {
					return false
				}
			}
		}
		return true
	}
	for part := range strings.SplitSeq(s, ",") {
		lo, hi, ranged := strings.Cut(part, "-")
		i, err := strconv.Atoi(lo)
		j := i
		if err == nil && ranged {
			j, err = strconv.Atoi(hi)
		}
		if err != nil || j < i {
			return false
		}
		for ; i <= j; i++ {
			if !add(i) {
				return false
			}
		}
	}
	return true
}

// CloneChunk returns a copy of the members of one chunk, relative to the start of the chunk.
func (b Set) CloneChunk(chunk int) Set {
	from := chunk * ChunkSize / 64
	return append(Set(nil), b[from:min(len(b), from+ChunkSize/64)]...)
}
