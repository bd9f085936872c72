package docs_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/loader"
)

// updateVariable, when set in the environment, makes the tests write the references.
const updateVariable = "DOTTERELWELL_UPDATE_DOCS"

// compare checks that a document holds text between its markers.
func compare(t *testing.T, file, marker, text string) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	begin, end := "<!-- begin "+marker+" -->\n", "<!-- end "+marker+" -->"
	head, rest, found := strings.Cut(string(raw), begin)
	held, tail, ended := strings.Cut(rest, end)
	if !found || !ended {
		t.Fatalf("%s has no markers for %s", file, marker)
	}
	if held == text {
		return
	}
	if os.Getenv(updateVariable) == "" {
		t.Fatalf("%s differs from the code; run the test with %s=1", file, updateVariable)
	}
	if err := os.WriteFile(file, []byte(head+begin+text+end+tail), 0o644); err != nil {
		t.Fatal(err)
	}
}

// fieldComments returns the doc comments of all struct fields of a file, by type and field.
func fieldComments(t *testing.T, file string) map[string]string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	comments := map[string]string{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if s, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range s.Fields.List {
				for _, name := range f.Names {
					comments[spec.Name.Name+"."+name.Name] = oneLine(f.Doc.Text())
				}
			}
		}
		return true
	})
	return comments
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// TestSettings compares the settings reference with the code.
func TestSettings(t *testing.T) {
	comments := fieldComments(t, "../internal/machine/loader/loader.go")
	var out strings.Builder
	out.WriteString("| key | default | meaning |\n| --- | --- | --- |\n")
	writeSettings(t, &out, "", reflect.ValueOf(loader.Defaults()), comments)
	compare(t, "operators/settings.md", "settings", out.String())
}

func writeSettings(t *testing.T, out *strings.Builder, prefix string, v reflect.Value, comments map[string]string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			writeSettings(t, out, key+".", v.Field(i), comments)
			continue
		}
		doc := comments[v.Type().Name()+"."+f.Name]
		if doc == "" {
			t.Errorf("setting %s has no comment", key)
		}
		value := fmt.Sprintf("`%v`", v.Field(i).Interface())
		if v.Field(i).IsZero() {
			value = ""
		}
		fmt.Fprintf(out, "| `%s` | %s | %s |\n", key, value, doc)
	}
}

// constants lists the string constants of a type in a file, with their comments.
func constants(t *testing.T, file, typeName string) string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	ast.Inspect(parsed, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != typeName {
			return true
		}
		doc := oneLine(spec.Doc.Text())
		if doc == "" {
			t.Errorf("%s has no comment", spec.Names[0].Name)
		}
		_, meaning, _ := strings.Cut(doc, "that ")
		value := strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`)
		fmt.Fprintf(&out, "| `%s` | %s |\n", value, meaning)
		return true
	})
	return out.String()
}

// TestEventsAndProblems compares the lists of events and problem types with the code.
func TestEventsAndProblems(t *testing.T) {
	const head = "| name | meaning |\n| --- | --- |\n"
	compare(t, "operators/events-and-problems.md", "problems", head+constants(t, "../internal/contract/problem/problem.go", "Type"))
	compare(t, "operators/events-and-problems.md", "events", head+constants(t, "../internal/link/chronicler/chronicler.go", "Kind"))
}

// TestMetrics compares the metrics reference with what an instance exports.
func TestMetrics(t *testing.T) {
	settings := loader.Defaults()
	settings.Instance, settings.Platform.ObjectAPI, settings.Platform.InstanceList = "a", "http://127.0.0.1:1", "http://127.0.0.1:1"
	node, closeNode, err := assembler.New(settings, assembler.Outside{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeNode()
	m := node.Meter
	m.Requests.WithLabelValues("w", "r", "ran", "")
	m.Seconds.WithLabelValues("r")
	m.Overruns.WithLabelValues("events")
	m.Answers.WithLabelValues("v")
	m.Cost.WithLabelValues("w")
	m.Dispatches.WithLabelValues("v")
	m.Claims.WithLabelValues("won")
	described, err := m.Describe()
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	out.WriteString("| metric | meaning |\n| --- | --- |\n")
	for _, d := range described {
		fmt.Fprintf(&out, "| `%s` | %s |\n", d.Name, d.Help)
	}
	compare(t, "operators/metrics.md", "metrics", out.String())
}

// TestConfiguration compares the configuration reference with the types.
func TestConfiguration(t *testing.T) {
	parsed, err := parser.ParseFile(token.NewFileSet(), "../declaration/fleet.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	ast.Inspect(parsed, func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.TYPE {
			return true
		}
		spec := decl.Specs[0].(*ast.TypeSpec)
		s, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		fmt.Fprintf(&out, "### %s\n\n%s\n\n| key | type | meaning |\n| --- | --- | --- |\n", spec.Name.Name, oneLine(decl.Doc.Text()))
		for _, f := range s.Fields.List {
			tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("toml")
			key, _, _ := strings.Cut(tag, ",")
			fmt.Fprintf(&out, "| `%s` | %s | %s |\n", key, typeName(f.Type), oneLine(f.Doc.Text()))
		}
		out.WriteString("\n")
		return true
	})
	compare(t, "operators/configuration.md", "configuration", out.String())
}

func typeName(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.ArrayType:
		return "list of " + typeName(x.Elt)
	case *ast.StarExpr:
		return typeName(x.X)
	}
	return ""
}
