// Package renderer prints a time line as text or as a self-contained page.
package renderer

import (
	"embed"
	"fmt"
	"html/template"
	"io"

	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/machine/ident"
)

// Renderer prints events that are in causal order.
type Renderer struct {
	Events []chronicler.Event
	// Silent lists instances whose events are missing.
	Silent []ident.Instance
}

//go:embed timeline.html
var files embed.FS

var page = template.Must(template.ParseFS(files, "timeline.html"))

// timeFormat shows milliseconds, which is what stamps hold.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Text prints one event a line.
func (r Renderer) Text(w io.Writer) error {
	for _, e := range r.Events {
		if _, err := fmt.Fprintf(w, "%s.%d %-10s %-17s %-28s %s %s\n", formatTime(e), e.Stamp.Count, e.Instance, e.Kind, e.Subject, e.Request, e.Detail); err != nil {
			return err
		}
	}
	for _, id := range r.Silent {
		if _, err := fmt.Fprintf(w, "# %s does not answer; its events are missing\n", id); err != nil {
			return err
		}
	}
	return nil
}

func formatTime(e chronicler.Event) string { return e.Stamp.Time.Time().UTC().Format(timeFormat) }

// row is an event as the page shows it.
type row struct {
	chronicler.Event
	Time   string
	Column int
}

// HTML prints a page with one column for each instance.
func (r Renderer) HTML(w io.Writer) error {
	var instances []ident.Instance
	columns := map[ident.Instance]int{}
	rows := make([]row, 0, len(r.Events))
	for _, e := range r.Events {
		column, found := columns[e.Instance]
		if !found {
			column = len(instances)
			columns[e.Instance] = column
			instances = append(instances, e.Instance)
		}
		rows = append(rows, row{Event: e, Time: formatTime(e), Column: column})
	}
	return page.Execute(w, struct {
		Instances []ident.Instance
		Rows      []row
		Silent    []ident.Instance
	}{instances, rows, r.Silent})
}
