package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/engine"
)

// Sizes of one phase of the load.
const (
	rulings       = 40
	lookups       = 80
	appeals       = 20
	registrations = 30
	callers       = 16
)

// result is what a caller saw of one request.
type result struct {
	kind    string
	request ident.Request
	key     ident.Key
	took    time.Duration
	status  int
	version string
	// whole is set when the answer is exactly the engine's.
	whole bool
	// refusal is set when the request was refused.
	refusal problem.Document
}

// load sends requests and keeps what came of them.
type load struct {
	fleet *fleet
	scale int

	mu      sync.Mutex
	serial  int
	results []result
}

// phase sends one round of mixed requests from several callers at once.
func (l *load) phase(ctx context.Context) {
	var jobs []func(ctx context.Context, serial int)
	add := func(n int, job func(ctx context.Context, serial int)) {
		for range n * l.scale {
			jobs = append(jobs, job)
		}
	}
	add(rulings, l.ruling)
	add(lookups, l.lookup)
	add(appeals, l.appeal)
	add(registrations, l.registration)
	queue := make(chan func(ctx context.Context, serial int))
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for job := range queue {
				job(ctx, l.next())
			}
		})
	}
	for i := range jobs {
		// Kinds are mixed by a stride that visits every job once.
		queue <- jobs[i*37%len(jobs)]
	}
	close(queue)
	done.Wait()
}

func (l *load) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serial++
	return l.serial
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *load) ruling(ctx context.Context, serial int) {
	l.chat(ctx, serial, "ruling", "rulings", true)
}

func (l *load) lookup(ctx context.Context, serial int) {
	l.chat(ctx, serial, "lookup", "lookups", false)
}

func (l *load) appeal(ctx context.Context, serial int) {
	l.chat(ctx, serial, "appeal", "appeals", false)
}

// chat sends one chat request and checks its answer against the engine's text.
func (l *load) chat(ctx context.Context, serial int, kind, route string, stream bool) {
	prompt := fmt.Sprintf("question %d about shop signs tokens=%d", serial, 8+serial%32)
	body, _ := json.Marshal(chat.Request{Model: route, Stream: stream, Messages: []chat.Message{{Role: "user", Content: prompt}}}) // strings always encode
	r := result{kind: kind, request: ident.Request(fmt.Sprintf("demo-%s-%d", kind, serial))}
	started := time.Now()
	resp, err := l.send(ctx, serial, http.MethodPost, "/v1/chat/completions", r, body)
	if err == nil {
		r.status = resp.StatusCode
		r.version = resp.Header.Get(chat.HeaderVersion)
		text := readAnswer(resp, stream, &r)
		version, _ := declaration.ParseRef(r.version) // a wrong version shows as a wrong text
		r.whole = r.status == http.StatusOK && text == engine.Text(version, prompt)
	}
	r.took = time.Since(started)
	l.add(r)
}

func (l *load) send(ctx context.Context, serial int, method, path string, r result, body []byte) (*http.Response, error) {
	url := l.fleet.urls[serial%len(l.fleet.urls)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	req.Header.Set(chat.HeaderRequestID, string(r.request))
	if r.key != "" {
		req.Header.Set(chat.HeaderIdempotencyKey, string(r.key))
	}
	return http.DefaultClient.Do(req)
}

func readAnswer(resp *http.Response, stream bool, r *result) string {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&r.refusal) // an empty refusal counts as none
		return ""
	}
	if !stream {
		var answer chat.Answer
		_ = json.NewDecoder(resp.Body).Decode(&answer) // a broken answer shows as a wrong text
		return answer.Text()
	}
	var text strings.Builder
	ended := false
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return ""
		}
		if event.Data == chat.StreamEnd {
			ended = true
			continue
		}
		var frame chat.Answer
		_ = json.Unmarshal([]byte(event.Data), &frame) // a broken frame shows as a wrong text
		text.WriteString(frame.Text())
	}
	if !ended {
		return ""
	}
	return text.String()
}

// registration registers a timer change twice with one key, at both instances.
func (l *load) registration(ctx context.Context, serial int) {
	key := ident.Key(fmt.Sprintf("timer-%d", serial))
	body := fmt.Appendf(nil, `{"shop":%d,"on":"05:30"}`, serial)
	for i := range 2 {
		r := result{kind: "registration", key: key, request: ident.Request(fmt.Sprintf("demo-reg-%d-%d", serial, i))}
		started := time.Now()
		resp, err := l.send(ctx, serial+i, http.MethodPost, "/services/"+string(desk)+"/register", r, body)
		if err == nil {
			r.status = resp.StatusCode
			raw, _ := io.ReadAll(resp.Body)     // a cut answer shows as one that is not whole
			_ = json.Unmarshal(raw, &r.refusal) // an answer leaves it empty
			_ = resp.Body.Close()               // it has been read
			r.whole = r.status == http.StatusOK && bytes.Contains(raw, []byte(`"run":1`))
		}
		r.took = time.Since(started)
		l.add(r)
	}
}

func (l *load) times(kind string) []float64 {
	var times []float64
	for _, r := range l.results {
		if r.kind == kind {
			times = append(times, float64(r.took.Microseconds())/1000)
		}
	}
	slices.Sort(times)
	return times
}

// percentile returns the p-th percentile of sorted values, or 0 of none.
func percentile(sorted []float64, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)]
}

// promises compares what callers, engines, the service and the bills say.
func (l *load) promises(records []bill.Record, startsOnWithdrawn int) []promise {
	whole, refused, lost := 0, 0, 0
	answered := map[ident.Request]bool{}
	for _, r := range l.results {
		switch {
		case r.whole:
			whole++
			answered[r.request] = true
		case r.status != 0 && r.status != http.StatusOK:
			refused++
		default:
			lost++
		}
	}
	return []promise{
		{text: "every answer arrived whole and is the engine's own", count: whole, kept: lost == 0 && whole > 0},
		{text: "no request was refused", count: refused, kept: refused == 0},
		{text: "every answer is billed once", count: len(records), kept: billedOnce(l.results, records)},
		{text: "no registration ran more than once", count: len(l.fleet.desk.Runs()), kept: l.ranOnce()},
		{text: "starts on the withdrawn version after its withdrawal", count: startsOnWithdrawn, kept: startsOnWithdrawn == 0},
		{text: "answers by versions that the workspace does not allow", count: l.notAllowed(), kept: l.notAllowed() == 0},
		{text: "cold engines given more than they bear", count: l.collapses(), kept: l.collapses() == 0},
	}
}

// billedOnce reports whether the bills are those of the answered requests: one for
// each chat request and one for each registration key.
func billedOnce(results []result, records []bill.Record) bool {
	wanted := map[string]bool{}
	for _, r := range results {
		if !r.whole {
			continue
		}
		if r.key != "" {
			wanted[string(r.key)] = true
			continue
		}
		wanted[string(r.request)] = true
	}
	for _, r := range records {
		name := strings.Split(string(r.ID), "/")[1]
		if !wanted[name] {
			return false
		}
		delete(wanted, name)
	}
	return len(wanted) == 0
}

func (l *load) ranOnce() bool {
	for _, n := range l.fleet.desk.Runs() {
		if n != 1 {
			return false
		}
	}
	return true
}

func (l *load) notAllowed() int {
	n := 0
	for _, r := range l.results {
		if r.version != "" && r.version != fast.String() && r.version != fastNew.String() && r.version != best.String() {
			n++
		}
	}
	return n
}

func (l *load) collapses() int {
	n := 0
	for _, e := range l.fleet.engines {
		n += e.Stats().Collapses
	}
	return n
}
