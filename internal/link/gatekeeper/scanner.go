package gatekeeper

import "bytes"

// scanner measures a head while it is read.
type scanner struct {
	bytes, lines int
	lineLength   int  // of the current line so far
	lastByte     byte // of the current line
	text         bool // a line that is not empty has been read
	ended        bool // the empty line at the end has been read
}

// read measures further bytes and returns those that follow the head. If net/http goes on reading the head
// although it seemed to have ended, all further bytes count.
func (s *scanner) read(p []byte) (rest []byte) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.bytes += len(p)
			s.lineLength += len(p)
			s.lastByte = p[len(p)-1]
			return nil
		}
		last := s.lastByte
		if end > 0 {
			last = p[end-1]
		}
		length := s.lineLength + end
		s.bytes += end + 1
		s.lineLength, s.lastByte = 0, 0
		p = p[end+1:]
		if length > 1 || length == 1 && last != '\r' {
			s.lines++
			s.text = true
			continue
		}
		if s.text && !s.ended {
			s.ended = true
			return p
		}
	}
	return nil
}

// cost is about what the head takes in memory once it is parsed.
func (s *scanner) cost() int64 { return int64(s.lines*lineBytes + s.bytes*byteCopies) }

// tail counts the lines of at least the last pipelinedBytes read: so much of a next head may be among them.
type tail struct {
	older, newer int // lines
	bytes        int // of newer
}

func (t *tail) lines() int { return t.older + t.newer }

func (t *tail) reset() { *t = tail{} }

func (t *tail) add(p []byte) {
	p = p[max(0, len(p)-pipelinedBytes):]
	if t.bytes+len(p) > pipelinedBytes {
		t.older, t.newer, t.bytes = t.newer, 0, 0
	}
	t.newer += bytes.Count(p, []byte{'\n'})
	t.bytes += len(p)
}
