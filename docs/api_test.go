package docs_test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/demonstrator"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/fleet"
)

// curl is a command line of a document.
type curl struct {
	url, body string
	header    http.Header
}

// split divides a command line into words, with single and double quotes.
func split(line string) []string {
	var words []string
	var word strings.Builder
	quote := rune(0)
	for _, c := range line {
		switch {
		case quote != 0 && c == quote:
			quote = 0
		case quote == 0 && (c == '\'' || c == '"'):
			quote = c
		case quote == 0 && c == ' ':
			words = append(words, word.String())
			word.Reset()
		default:
			word.WriteRune(c)
		}
	}
	return append(words, word.String())
}

func parseCurl(line string) curl {
	c := curl{header: http.Header{}}
	words := split(line)
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			c.header.Set(name, value)
		case "-d":
			i++
			c.body = words[i]
		case "-N":
		default:
			c.url = words[i]
		}
	}
	return c
}

// TestCallerExamples runs every example of the callers' page as written.
func TestCallerExamples(t *testing.T) {
	raw, err := os.ReadFile("callers/api.md")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		f, stop := fleet.New(2)
		defer stop()
		if err := f.Submit(t.Context(), demonstrator.Sample()); err != nil {
			t.Fatal(err)
		}
		versions := []declaration.Ref{{Model: "bora", Version: "1"}, {Model: "bora", Version: "2"}, {Model: "mistral-wind", Version: "1"}}
		if err := f.AddEngine(0, &engine.Engine{Versions: versions}); err != nil {
			t.Fatal(err)
		}
		if err := f.AddService(0, "timer-desk", &deskservice.Service{}); err != nil {
			t.Fatal(err)
		}
		if err := f.AddNodes(2); err != nil {
			t.Fatal(err)
		}
		if err := f.AwaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		ran := 0
		for line := range strings.Lines(string(raw)) {
			if !strings.HasPrefix(line, "curl ") {
				continue
			}
			ran++
			line = strings.NewReplacer("$KEY", demonstrator.CallerKey, "$URL", "http://"+string(f.Nodes[ran%2].Settings.CallerAddress)).Replace(strings.TrimSpace(line))
			c := parseCurl(line)
			method := http.MethodGet
			if c.body != "" {
				method = http.MethodPost
			}
			req, err := http.NewRequestWithContext(t.Context(), method, c.url, bytes.NewReader([]byte(c.body)))
			if err != nil {
				t.Fatal(err)
			}
			req.Header = c.header
			resp, err := f.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			answer, _ := io.ReadAll(resp.Body) // a short answer shows below
			_ = resp.Body.Close()              // it has been read
			if resp.StatusCode != http.StatusOK || len(answer) == 0 {
				t.Errorf("%s: status %d: %s", line, resp.StatusCode, answer)
			}
		}
		if ran < 5 {
			t.Errorf("only %d examples were found", ran)
		}
	})
}

// TestReadmeCommands checks that the two commands of the README are those that CI
// and the tests run.
func TestReadmeCommands(t *testing.T) {
	readme, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	ci, err := os.ReadFile("../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"go run ./cmd/dotterelwell demo", ".ci/test ./..."} {
		if !strings.Contains(string(readme), "\n"+command+"\n") {
			t.Errorf("the README lacks the command %q", command)
		}
	}
	if !strings.Contains(string(ci), "\n.ci/test ./...\n") {
		t.Error("CI does not run the README's test command")
	}
}
