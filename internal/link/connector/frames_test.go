package connector

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"strings"
	"testing"
)

// TestAnnouncedLengths checks that a message is refused by the length that it announces: gob allocates that much before
// a byte of it has come.
func TestAnnouncedLengths(t *testing.T) {
	for name, c := range map[string]struct {
		announced string
		want      error
	}{
		"over the limit":       {"\xfd\x40\x00\x01", errTooLarge},
		"a gigabyte":           {"\xfc\x3f\xff\xff\xff", errTooLarge},
		"over any":             {"\xf8\xff\xff\xff\xff\xff\xff\xff\xff", errTooLarge},
		"over the memory":      {"\xfd\x10\x00\x00", errNoMemory},
		"within both, missing": {"\xfd\x01\x00\x00", io.ErrUnexpectedEOF},
	} {
		connector := &Connector{MessageMemory: 512 << 10}
		f := &frameReader{in: bufio.NewReader(strings.NewReader(c.announced)), connector: connector}
		if err := gob.NewDecoder(f).Decode(new(string)); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		if f.close(); connector.messageMemory.Load() != 0 {
			t.Errorf("%s: %d bytes are still counted", name, connector.messageMemory.Load())
		}
	}
}

// TestFramesPassMessages checks that messages of all sizes pass unchanged, one after the other, and give back their memory.
func TestFramesPassMessages(t *testing.T) {
	var sent bytes.Buffer
	enc := gob.NewEncoder(&sent)
	sizes := []int{0, 1, 100, 127, 128, 70 << 10, 300 << 10, 5}
	for _, size := range sizes {
		if err := enc.Encode(strings.Repeat("x", size)); err != nil {
			t.Fatal(err)
		}
	}
	connector := &Connector{MessageMemory: 512 << 10}
	dec := gob.NewDecoder(&frameReader{in: bufio.NewReader(&sent), connector: connector})
	for _, size := range sizes {
		var got string
		if err := dec.Decode(&got); err != nil || len(got) != size {
			t.Fatalf("a message of %d bytes comes as %d, error %v", size, len(got), err)
		}
	}
	if used := connector.messageMemory.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}
