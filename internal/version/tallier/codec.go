package tallier

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/machine/clock"
)

var errTruncated = errors.New("encoded tally is truncated")

// GobEncode encodes the counts as varints. Of the bins it writes only those that are not zero,
// as pairs of index and count.
func (t *Tally) GobEncode() ([]byte, error) {
	b := make([]byte, 0, 64)
	for _, n := range []uint64{uint64(t.Answers), uint64(t.Errors), t.PromptTokens, t.AnswerTokens, uint64(t.Took)} {
		b = binary.AppendUvarint(b, n)
	}
	b = appendBins(b, t.Ratings[:])
	return appendBins(b, t.Delays[:]), nil
}

// appendBins appends the number of nonzero bins and their indexes and counts.
func appendBins(b []byte, bins []uint32) []byte {
	nonZero := uint64(0)
	for _, n := range bins {
		if n > 0 {
			nonZero++
		}
	}
	b = binary.AppendUvarint(b, nonZero)
	for i, n := range bins {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	return b
}

// GobDecode decodes the output of GobEncode. It returns an error if the data is truncated or a
// bin index is out of range.
func (t *Tally) GobDecode(b []byte) error {
	*t = Tally{}
	r := reader{b: b}
	t.Answers, t.Errors = uint32(r.uvarint()), uint32(r.uvarint())
	t.PromptTokens, t.AnswerTokens = r.uvarint(), r.uvarint()
	t.Took = clock.Millis(r.uvarint())
	r.bins(t.Ratings[:])
	r.bins(t.Delays[:])
	return r.err
}

// reader reads varints and keeps the first error.
type reader struct {
	b   []byte
	err error
}

// uvarint returns the next varint, or 0 after an error.
func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.err = errTruncated
		r.b = nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

// bins reads the output of appendBins into bins.
func (r *reader) bins(bins []uint32) {
	for left := r.uvarint(); left > 0 && r.err == nil; left-- {
		i, n := r.uvarint(), r.uvarint()
		if i >= uint64(len(bins)) {
			r.err = errors.Newf("bin index %d is out of range, want less than %d", i, len(bins))
			return
		}
		bins[i] = uint32(n)
	}
}
