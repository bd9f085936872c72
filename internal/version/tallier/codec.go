package tallier

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/machine/clock"
)

var errShort = errors.New("a tally ends early")

// GobEncode writes the counts as varints, and only the bins that hold something.
func (t *Tally) GobEncode() ([]byte, error) {
	b := make([]byte, 0, 64)
	for _, n := range []uint64{uint64(t.Answers), uint64(t.Errors), t.PromptTokens, t.AnswerTokens, uint64(t.Took)} {
		b = binary.AppendUvarint(b, n)
	}
	b = appendBins(b, t.Ratings[:])
	return appendBins(b, t.Delays[:]), nil
}

func appendBins(b []byte, bins []uint32) []byte {
	held := uint64(0)
	for _, n := range bins {
		if n > 0 {
			held++
		}
	}
	b = binary.AppendUvarint(b, held)
	for i, n := range bins {
		if n > 0 {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, uint64(n))
		}
	}
	return b
}

// GobDecode reads and checks what GobEncode writes.
func (t *Tally) GobDecode(b []byte) error {
	*t = Tally{}
	r := reader{b: b}
	t.Answers, t.Errors = uint32(r.next()), uint32(r.next())
	t.PromptTokens, t.AnswerTokens = r.next(), r.next()
	t.Took = clock.Millis(r.next())
	r.bins(t.Ratings[:])
	r.bins(t.Delays[:])
	return r.err
}

type reader struct {
	b   []byte
	err error
}

func (r *reader) next() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.err = errShort
		r.b = nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) bins(bins []uint32) {
	for left := r.next(); left > 0 && r.err == nil; left-- {
		i, n := r.next(), r.next()
		if i >= uint64(len(bins)) {
			r.err = errors.Newf("bin %d is not below %d", i, len(bins))
			return
		}
		bins[i] = uint32(n)
	}
}
