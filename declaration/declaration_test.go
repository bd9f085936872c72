package declaration_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"example.com/dotterelwell/declaration"
)

// TestDocuments parses the documents of the fixture and prints every problem.
func TestDocuments(t *testing.T) {
	datadriven.RunTest(t, "_fixtures/documents", func(_ *testing.T, d *datadriven.TestData) string {
		fleet, problems := declaration.Parse([]byte(d.Input))
		if len(problems) == 0 {
			return fmt.Sprintf("ok: %d workspaces\n", len(fleet.Workspaces))
		}
		var out strings.Builder
		for _, p := range problems {
			fmt.Fprintf(&out, "line %d: %s: %s\n", p.Line, p.Field, p.Detail)
		}
		return out.String()
	})
}

// TestPrintParses prints a document and reads the same one back.
func TestPrintParses(t *testing.T) {
	var first, second bytes.Buffer
	if err := declaration.Print(&first, Kirakatjel()); err != nil {
		t.Fatal(err)
	}
	parsed, problems := declaration.Parse(first.Bytes())
	if len(problems) > 0 {
		t.Fatalf("%v in\n%s", problems, first.String())
	}
	if err := declaration.Print(&second, parsed); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Errorf("printed again it reads\n%s\nnot\n%s", second.String(), first.String())
	}
}

// Kirakatjel declares the office that sets when shop signs light and dim.
func Kirakatjel() *declaration.Fleet {
	draft := declaration.Ref{Model: "draft"}
	careful := declaration.Ref{Model: "careful", Version: "3"}
	return &declaration.Fleet{
		Zones: []declaration.Zone{{Name: "hu-central-1", Region: "hu-central"}, {Name: "hu-central-2", Region: "hu-central"}, {Name: "hu-central-3", Region: "hu-central"}},
		Models: []declaration.Model{
			{Name: "draft", Versions: []declaration.Version{
				{Name: "7", PromptPrice: 100, AnswerPrice: 400, Quality: 0.8, ColdLimit: 2},
				{Name: "8", PromptPrice: 80, AnswerPrice: 300, Quality: 0.8, ColdLimit: 2},
			}, Rollout: &declaration.Rollout{
				From: "7", To: "8", Steps: []declaration.Percent{1, 10, 50, 100}, Hold: 600_000,
				Guard: declaration.Guard{MaxErrorRise: 1, MaxQualityDrop: 0.03, MaxLatencyFactor: 1.5},
			}},
			{Name: "careful", Versions: []declaration.Version{{Name: "3", PromptPrice: 1000, AnswerPrice: 4000, Quality: 0.95, ColdLimit: 1}}},
		},
		Services:    []declaration.Service{{Name: "timer-desk", OnceMethods: []string{"POST"}, CanTell: true, Price: 50}},
		SessionKeys: []declaration.SessionKey{{Name: "2026-12", Secret: "replace-this-secret", Since: 1}},
		Workspaces: []declaration.Workspace{{
			Name: "rulings-office", KeyDigests: []string{"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"},
			Allow: []declaration.Ref{draft, careful}, Services: []declaration.ServiceName{"timer-desk"},
			Routes: []declaration.Route{
				{Name: "rulings", Class: "ruling", Priority: declaration.PriorityPatient, Models: []declaration.Ref{draft, careful}, Quality: 0.85, Answer: declaration.AnswerRated},
				{Name: "questions", Class: "question", Models: []declaration.Ref{draft}, Quality: 0.7, Explore: 2},
			},
		}},
	}
}

// Example_kirakatjel prints the configuration of the shop sign office.
func Example_kirakatjel() {
	if err := declaration.Print(os.Stdout, Kirakatjel()); err != nil {
		fmt.Println(err)
	}
	// Output:
	// [[zone]]
	// name = 'hu-central-1'
	// region = 'hu-central'
	//
	// [[zone]]
	// name = 'hu-central-2'
	// region = 'hu-central'
	//
	// [[zone]]
	// name = 'hu-central-3'
	// region = 'hu-central'
	//
	// [[model]]
	// name = 'draft'
	//
	// [[model.version]]
	// name = '7'
	// prompt-price = 100
	// answer-price = 400
	// quality = 0.8
	// cold-limit = 2
	//
	// [[model.version]]
	// name = '8'
	// prompt-price = 80
	// answer-price = 300
	// quality = 0.8
	// cold-limit = 2
	//
	// [model.rollout]
	// from = '7'
	// to = '8'
	// steps = [1.0, 10.0, 50.0, 100.0]
	// hold-ms = 600000
	//
	// [model.rollout.guard]
	// max-error-rise = 1.0
	// max-quality-drop = 0.03
	// max-latency-factor = 1.5
	//
	// [[model]]
	// name = 'careful'
	//
	// [[model.version]]
	// name = '3'
	// prompt-price = 1000
	// answer-price = 4000
	// quality = 0.95
	// cold-limit = 1
	//
	// [[workspace]]
	// name = 'rulings-office'
	// key-digests = ['5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8']
	// allow = ['draft', 'careful@3']
	// services = ['timer-desk']
	//
	// [[workspace.route]]
	// name = 'rulings'
	// class = 'ruling'
	// priority = 'patient'
	// models = ['draft', 'careful@3']
	// quality = 0.85
	// answer = 'rated'
	//
	// [[workspace.route]]
	// name = 'questions'
	// class = 'question'
	// models = ['draft']
	// quality = 0.7
	// explore-percent = 2.0
	//
	// [[service]]
	// name = 'timer-desk'
	// once-methods = ['POST']
	// can-tell = true
	// price = 50
	//
	// [[session-key]]
	// name = '2026-12'
	// secret = 'replace-this-secret'
	// since-ms = 1
}

// Example_hafnarvik prints the configuration of the utility that keeps harvest
// advance ledgers.
func Example_hafnarvik() {
	ledger := declaration.Ref{Model: "ledger-drafts"}
	fleet := &declaration.Fleet{
		Zones:    []declaration.Zone{{Name: "vestur-1", Region: "vestur"}},
		Models:   []declaration.Model{{Name: "ledger-drafts", Versions: []declaration.Version{{Name: "2", PromptPrice: 200, AnswerPrice: 800, Quality: 0.9}}}},
		Services: []declaration.Service{{Name: "ledger-desk", OnceMethods: []string{"POST"}, Price: 10}},
		Workspaces: []declaration.Workspace{{
			Name: "cooperative", KeyDigests: []string{"5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"},
			Allow: []declaration.Ref{ledger}, Services: []declaration.ServiceName{"ledger-desk"},
			Routes: []declaration.Route{
				{Name: "balances", Class: "balance", Models: []declaration.Ref{ledger}, Quality: 0.8},
				{Name: "season-summaries", Class: "summary", Priority: declaration.PriorityPatient, Models: []declaration.Ref{ledger}, Quality: 0.85},
			},
		}},
	}
	if err := declaration.Print(os.Stdout, fleet); err != nil {
		fmt.Println(err)
	}
	// Output:
	// [[zone]]
	// name = 'vestur-1'
	// region = 'vestur'
	//
	// [[model]]
	// name = 'ledger-drafts'
	//
	// [[model.version]]
	// name = '2'
	// prompt-price = 200
	// answer-price = 800
	// quality = 0.9
	//
	// [[workspace]]
	// name = 'cooperative'
	// key-digests = ['5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8']
	// allow = ['ledger-drafts']
	// services = ['ledger-desk']
	//
	// [[workspace.route]]
	// name = 'balances'
	// class = 'balance'
	// models = ['ledger-drafts']
	// quality = 0.8
	//
	// [[workspace.route]]
	// name = 'season-summaries'
	// class = 'summary'
	// priority = 'patient'
	// models = ['ledger-drafts']
	// quality = 0.85
	//
	// [[service]]
	// name = 'ledger-desk'
	// once-methods = ['POST']
	// price = 10
}

// FuzzParse feeds arbitrary documents.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[[zone]]\nname = \"a\"\nregion = \"r\"\n"))
	f.Fuzz(func(_ *testing.T, raw []byte) { declaration.Parse(raw) })
}
