// Package narrator tells what became of one request, from the logs of instances.
package narrator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// KindRead means that a log could not be read.
const KindRead Kind = "read"

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxLineBytes bounds a log line. Lines of the program are below 4 KB.
	maxLineBytes = 1 << 20
	// contextSpan is how long before a request's arrival events are told that may have
	// changed what its instance believed. Operators' bounds for that are 2 to 6 s.
	contextSpan = 6 * time.Second
)

// ended is the message of the line that an instance writes for each request.
const ended = "Request ended"

// Narrator holds the lines of logs that can belong to a request's story. Its zero value
// is ready.
type Narrator struct {
	lines []line
}

// Read takes in a log. Lines that are not the program's are skipped. source names the
// instance where a line has no prefix of its own, as collectors of logs put there.
func (n *Narrator) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			l.source = cmp.Or(l.source, source)
			n.lines = append(n.lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.New("read log "+source, KindRead, err)
	}
	return nil
}

// Tell writes the story of a request: each time that it came to an instance, what was
// tried, and what the instance believed then. It reports whether any log knows it.
func (n *Narrator) Tell(request ident.Request, out io.Writer) (found bool, err error) {
	slices.SortStableFunc(n.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range n.lines {
		if l.message != ended || l.fields["request"] != string(request) {
			continue
		}
		found = true
		if _, err := io.WriteString(out, n.visit(l)); err != nil {
			return found, err
		}
	}
	return found, nil
}

// visit tells of one arrival of the request at an instance.
func (n *Narrator) visit(l line) string {
	var b strings.Builder
	arrived := l.at.Add(-l.duration("took-ms"))
	fmt.Fprintf(&b, "%s at %s: %s after %s ms", l.at.Format(timeLayout), l.source, l.fields["outcome"], l.fields["took-ms"])
	for _, key := range []string{"cause", "route", "workspace", "config", "tokens", "events", "session"} {
		if value := l.fields[key]; value != "" && value != "null" {
			fmt.Fprintf(&b, ", %s %s", key, value)
		}
	}
	b.WriteString("\n")
	servers := map[string]bool{}
	for _, a := range attempts(l.fields["attempts"]) {
		servers[a.server] = true
		fmt.Fprintf(&b, "  attempt  %s\n", a)
	}
	for _, known := range n.beliefs(l.source, arrived, l.at, servers) {
		fmt.Fprintf(&b, "  %+6d ms  %s\n", known.at.Sub(arrived).Milliseconds(), known.text)
	}
	return b.String()
}

// beliefs returns the lines of an instance that tell what it knew of a request's servers
// and of the configuration, and what happened to it shortly before and meanwhile.
func (n *Narrator) beliefs(source string, arrived, ended time.Time, servers map[string]bool) []line {
	var told []line
	latest := map[string]int{} // by subject, the place in told of what was known on arrival
	for _, l := range n.lines {
		if l.source != source || l.at.After(ended) {
			continue
		}
		subject, lasting := l.subject()
		switch {
		case subject == "" || subject == l.fields["server"] && !servers[subject]:
			continue
		case !l.at.Before(arrived), !lasting && arrived.Sub(l.at) <= contextSpan:
			told = append(told, l)
		case lasting:
			if place, known := latest[subject]; known {
				told[place] = l
				continue
			}
			latest[subject] = len(told)
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, func(a, b line) int { return a.at.Compare(b.at) })
	return told
}
