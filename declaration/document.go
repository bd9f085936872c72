package declaration

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Print writes the document as TOML after checking it.
func Print(w io.Writer, f *Fleet) error {
	if problems := f.Check(); len(problems) > 0 {
		p := problems[0]
		return newError("print configuration", KindInvalid, "%s: %s (%d problems)", p.Field, p.Detail, len(problems))
	}
	raw, err := toml.Marshal(f)
	if err != nil {
		return newError("print configuration", KindInvalid, "%v", err)
	}
	_, err = w.Write(raw)
	return err
}

// Parse reads a document. It returns all problems at once, each with its line
// where the document tells it; the Fleet is usable only when there is none.
func Parse(raw []byte) (*Fleet, []Problem) {
	f := &Fleet{}
	if problems := Decode(raw, f); len(problems) > 0 {
		return f, problems
	}
	problems := f.Check()
	for i := range problems {
		problems[i].Line = LineOf(raw, problems[i].Field)
	}
	return f, problems
}

// Decode reads TOML into v and returns all unknown keys, or the first value of a wrong type.
func Decode(raw []byte, v any) []Problem {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		var problems []Problem
		for _, e := range missing.Errors {
			line, _ := e.Position()
			problems = append(problems, Problem{Field: strings.Join(e.Key(), "."), Line: line, Detail: "unknown key"})
		}
		return problems
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return []Problem{{Field: strings.Join(bad.Key(), "."), Line: line, Detail: bad.Error()}}
	}
	return []Problem{{Detail: err.Error()}}
}

var indexedTable = regexp.MustCompile(`^([a-z-]+)\[(\d+)\]$`)

// LineOf finds the line of a field path such as workspace[0].route[1].quality.
// It returns the line of the innermost table when the key is absent.
func LineOf(raw []byte, field string) int {
	lines := strings.Split(string(raw), "\n")
	at, path := 0, ""
	parts := strings.Split(field, ".")
	for i, part := range parts {
		name, index := part, 0
		if m := indexedTable.FindStringSubmatch(part); m != nil {
			name = m[1]
			index, _ = strconv.Atoi(m[2])
		}
		path = strings.TrimPrefix(path+"."+name, ".")
		if found := findTable(lines, at, path, index); found > 0 {
			at = found
			continue
		}
		if i < len(parts) {
			return findKey(lines, at, name)
		}
	}
	return at
}

// findTable returns the 1-based line of the index-th header [[path]] or [path] after line from.
func findTable(lines []string, from int, path string, index int) int {
	for i := from; i < len(lines); i++ {
		header := strings.Trim(strings.TrimSpace(lines[i]), "[]")
		if !strings.HasPrefix(strings.TrimSpace(lines[i]), "[") || header != path {
			continue
		}
		if index == 0 {
			return i + 1
		}
		index--
	}
	return 0
}

// findKey returns the 1-based line of key in the table that starts at line from, or from itself.
func findKey(lines []string, from int, key string) int {
	for i := from; i < len(lines); i++ {
		line := strings.TrimSpace(lines[i])
		if strings.HasPrefix(line, "[") {
			break
		}
		if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return from
}
