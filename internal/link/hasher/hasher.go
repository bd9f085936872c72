// Package hasher chooses members of a set by rendezvous hashing: when a member joins or
// leaves the set, only the items that choose that member move.
package hasher

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hasher scores pairs of an item and a member. Its zero value is ready to use.
type Hasher struct {
	// Salt makes the choices of hashers with different salts independent of each other.
	Salt string
}

// Score returns the rendezvous score of member for item.
func (h Hasher) Score(item, member string) uint64 {
	return h.sum(item, member)
}

// HashName returns the salted hash of an item's or member's name, for ScoreHashes.
func (h Hasher) HashName(name string) uint64 {
	return h.sum(name)
}

// sum returns the hash of the salt and the names.
func (h Hasher) sum(names ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(h.Salt) // xxhash.Digest never returns an error
	for _, name := range names {
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(name)
	}
	return d.Sum64()
}

// ScoreHashes returns the score of a member for an item by the hashes of their names. It is
// cheaper than Score where many members are scored often; its scores differ from Score's.
func (Hasher) ScoreHashes(item, member uint64) uint64 {
	// The finalizer of SplitMix64: each bit of the input affects all bits of the output.
	x := item ^ bits.RotateLeft64(member, 32)
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// Best returns the member with the highest score for item, or "" for an empty set.
func (h Hasher) Best(item string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		score := h.Score(item, m)
		if best == "" || score > bestScore || score == bestScore && m < best {
			best, bestScore = m, score
		}
	}
	return best
}

// InTop reports whether member is one of the n members with the highest scores for item.
func (h Hasher) InTop(item, member string, members []string, n int) bool {
	own := h.Score(item, member)
	higher := 0
	for _, m := range members {
		if m == member {
			continue
		}
		score := h.Score(item, m)
		if score > own || score == own && m < member {
			higher++
		}
	}
	return higher < n
}
