package connector

import (
	"bufio"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// freeMessageBytes is the length up to which a message doesn't count toward the message memory.
const freeMessageBytes = 64 << 10

var errNoMemory = errors.New("received messages take too much memory")

// frameReader passes on gob messages and checks the length that each announces before gob allocates it.
type frameReader struct {
	in        *bufio.Reader
	connector *Connector

	left      int          // bytes of the current message that are still to come
	lengthFor int          // bytes of the announced length that are still to come
	length    int          // announced so far
	err       error        // for which no further message is read
	charged   atomic.Int64 // the part of the message memory that the current message takes
}

// ReadByte reads a byte. gob reads ahead from readers without it.
func (f *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := f.Read(b[:])
	return b[0], err
}

// Read reads bytes of one message, or one byte of a message's length.
func (f *frameReader) Read(p []byte) (int, error) {
	if len(p) == 0 || f.err != nil {
		return 0, f.err
	}
	if f.left > 0 {
		n, err := f.in.Read(p[:min(len(p), f.left)])
		f.left -= n
		return n, err
	}
	b, err := f.in.ReadByte()
	if err != nil {
		return 0, err
	}
	if f.err = f.announce(b); f.err != nil {
		return 0, f.err
	}
	p[0] = b
	return 1, nil
}

// announce takes in one byte of a message's length: a byte up to 127 is the length itself, and another the negated
// number of bytes that follow.
func (f *frameReader) announce(b byte) error {
	switch {
	case f.lengthFor > 0:
		f.length = f.length<<8 | int(b)
		f.lengthFor--
	case b <= 0x7f:
		f.length = int(b)
	default:
		f.length, f.lengthFor = 0, -int(int8(b))
	}
	if f.length > MaxMessageBytes || f.length < 0 {
		return errTooLarge
	}
	if f.lengthFor > 0 {
		return nil
	}
	f.left = f.length
	return f.charge(int64(max(f.length-freeMessageBytes, 0)))
}

// charge counts the current message toward the message memory, in place of the one before.
func (f *frameReader) charge(bytes int64) error {
	total := f.connector.messageMemory.Add(bytes - f.charged.Swap(bytes))
	if bound := f.connector.MessageMemory; bytes > 0 && bound > 0 && total > bound {
		f.close()
		return errNoMemory
	}
	return nil
}

// close takes the current message out of the message memory.
func (f *frameReader) close() { f.connector.messageMemory.Add(-f.charged.Swap(0)) }
