package narrator

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// timeLayout is the time in a log line. It has no year, so that stories across the turn
// of a year are out of order.
const timeLayout = "0102 15:04:05.000000"

// header matches what precedes a line's message: the prefix of a collector of logs, the
// severity with the time, the process and the place in the code.
var header = regexp.MustCompile(`^(.*?)\b[IWEF](\d{4} \d\d:\d\d:\d\d\.\d{6})\s+\d+ [\w.-]+:\d+\] `)

// line is one line of a log.
type line struct {
	at      time.Time
	source  string
	message string
	// text is the message with its fields as they were written.
	text   string
	fields map[string]string
}

// parse reads a line and reports whether it is one of the program's.
func parse(raw string) (line, bool) {
	match := header.FindStringSubmatch(raw)
	if match == nil {
		return line{}, false
	}
	at, err := time.Parse(timeLayout, match[2])
	if err != nil {
		return line{}, false
	}
	text := raw[len(match[0]):]
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return line{}, false
	}
	message, err := strconv.Unquote(quoted)
	if err != nil {
		return line{}, false
	}
	return line{
		at: at, source: sourceOf(match[1]), message: message,
		text: message + text[len(quoted):], fields: parseFields(text[len(quoted):]),
	}, true
}

// sourceOf returns the last word of a collector's prefix, which names the instance.
func sourceOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// parseFields reads key=value pairs. Values are quoted where they hold spaces.
func parseFields(rest string) map[string]string {
	fields := map[string]string{}
	for {
		key, after, found := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !found {
			return fields
		}
		if quoted, err := strconv.QuotedPrefix(after); err == nil {
			fields[key], _ = strconv.Unquote(quoted) // what QuotedPrefix returns can be unquoted
			rest = after[len(quoted):]
			continue
		}
		fields[key], rest, _ = strings.Cut(after, " ")
	}
}

func (l *line) duration(key string) time.Duration {
	ms, err := strconv.ParseInt(l.fields[key], 10, 64)
	if err != nil {
		return 0 // the story then begins when it ends
	}
	return time.Duration(ms) * time.Millisecond
}

// subject returns what a line tells of, or "" where it is no part of a story, and whether
// that holds until another line tells of the same.
func (l *line) subject() (subject string, lasting bool) {
	switch l.message {
	case "Routing configuration is in force":
		return "configuration", true
	case "Server entry", "Server is gone", "Server entry lapsed while the store was away":
		return l.fields["server"], true
	case "Zone changes service":
		return "zone " + l.fields["zone"], true
	case "Roll-out order", "Release is bad and gets no more requests":
		return "roll-out " + l.fields["service"], true
	case "Store is lost", "Store is reached":
		return "store " + l.fields["kind"], true
	case "Instance is cut off from servers", "Instance is no longer cut off from servers":
		return "links", true
	case "Instance started", "Instance is draining", "Instance stops", "Settings are reloaded", "Peer contact":
		return l.message, false
	}
	return "", false
}

// attempt is one send of a request.
type attempt struct {
	server, model, peer, result string
	first, took                 string // in milliseconds
}

// String describes the attempt.
func (a attempt) String() string {
	text := a.server
	if a.model != "" {
		text += ", model " + a.model
	}
	if a.peer != "" {
		text += ", through " + a.peer
	}
	return fmt.Sprintf("%s: %s, first byte after %s ms, ended after %s ms", text, a.result, a.first, a.took)
}

// attemptForm is server/model@peer:result(detail)/first/took, where the model and the peer may be missing.
var attemptForm = regexp.MustCompile(`^([^/:@]+)(?:/([^:@]*))?(?:@([^:]*))?:(.*?)/(\d+)/(\d+)(?: |$)`)

// attempts reads the attempts of a request. What is not in their form is left out.
func attempts(text string) []attempt {
	var all []attempt
	for text != "" {
		match := attemptForm.FindStringSubmatch(text)
		if match == nil {
			return all
		}
		all = append(all, attempt{server: match[1], model: match[2], peer: match[3], result: match[4], first: match[5], took: match[6]})
		text = text[len(match[0]):]
	}
	return all
}
