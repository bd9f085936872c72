package queuer_test

import (
	"fmt"
	"slices"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/load/queuer"
	"example.com/dotterelwell/internal/machine/clock"
)

// drain takes all requests out of the queue in their order and returns their names.
func drain(waiters map[string]*queuer.Waiter) []string {
	var order []string
	for len(waiters) > 0 {
		for name, w := range waiters {
			if w.IsFirst() {
				order = append(order, name)
				w.Leave()
				delete(waiters, name)
				break
			}
		}
	}
	return order
}

// TestOrder guards against service by arrival. Load: a jump of the least urgent kind, behind which urgent
// requests, cut streams and second attempts come in.
func TestOrder(t *testing.T) {
	var q queuer.Queue
	waiters := map[string]*queuer.Waiter{}
	for _, r := range []struct {
		name    string
		request queuer.Request
	}{
		{"report with time", queuer.Request{Priority: 2, Workspace: "a", LatestStart: 5000, Target: 6000}},
		{"report in a hurry", queuer.Request{Priority: 2, Workspace: "b", LatestStart: 1000, Target: 6000}},
		{"second attempt in a hurry", queuer.Request{Priority: 1, Workspace: "c", LatestStart: 100, Target: 2000, Repeated: true}},
		{"question", queuer.Request{Priority: 1, Workspace: "a", LatestStart: 1900, Target: 2000}},
		{"cut stream", queuer.Request{Priority: 1, Workspace: "a", LatestStart: 4000, Target: 2000, Held: true, Repeated: true}},
		{"digest", queuer.Request{Priority: 0, Workspace: "d", LatestStart: 1500, Target: 2000}},
	} {
		waiters[r.name] = q.Join(r.request)
	}
	want := []string{"digest", "cut stream", "question", "second attempt in a hurry", "report in a hurry", "report with time"}
	if got := drain(waiters); !slices.Equal(got, want) {
		t.Errorf("order is %v, want %v", got, want)
	}
}

// TestHotWorkspace guards against a workspace that crowds out the others. Load: one workspace sends 7.5 times its
// usual. Served by arrival, the other workspaces' requests would come after all of its earlier ones.
func TestHotWorkspace(t *testing.T) {
	var q queuer.Queue
	waiters := map[string]*queuer.Waiter{}
	now := clock.Millis(0)
	join := func(workspace string, i int) {
		waiters[fmt.Sprint(workspace, i)] = q.Join(queuer.Request{Priority: 1, Workspace: declaration.WorkspaceName(workspace), LatestStart: now + 1000, Target: 2000})
	}
	for i := range 75 {
		now = clock.Millis(4 * i)
		join("hot", i)
	}
	for i := range 10 {
		join("calm", i)
	}
	served := map[bool]int{}
	for _, name := range drain(waiters)[:20] {
		served[name[:3] == "hot"]++
	}
	if served[false] < 9 || served[true] < 9 {
		t.Errorf("of the first 20 places the hot workspace has %d and the other one %d, want about equal", served[true], served[false])
	}
}

// TestWakesFirst guards against a herd: an event that frees a server made all waiting requests look for a server.
// Load: requests wait at an instance while servers finish one request after the other.
func TestWakesFirst(t *testing.T) {
	var q queuer.Queue
	var waiters []*queuer.Waiter
	for i := range 50 {
		waiters = append(waiters, q.Join(queuer.Request{LatestStart: clock.Millis(i)}))
	}
	woken := func() []int {
		var all []int
		for i, w := range waiters {
			select {
			case <-w.C:
				all = append(all, i)
			default:
			}
		}
		return all
	}
	q.Wake()
	q.Wake()
	if got := woken(); !slices.Equal(got, []int{0}) {
		t.Fatalf("two events woke %v, want the first request", got)
	}
	waiters[0].Leave() // it found room
	if got := woken(); !slices.Equal(got, []int{1}) {
		t.Fatalf("after the first has left, %v are woken, want the next", got)
	}
	waiters[30].Leave() // its caller has gone
	if got := woken(); len(got) > 0 {
		t.Fatalf("a request that wasn't first woke %v as it left", got)
	}
	waiters[30].Leave()
	if q.Len() != 48 {
		t.Errorf("%d requests wait, want 48", q.Len())
	}
}

// TestBounded guards against a queue that grows without end. Load: requests arrive while no server is in reach.
func TestBounded(t *testing.T) {
	var q queuer.Queue
	var last *queuer.Waiter
	for range queuer.MaxWaiting {
		last = q.Join(queuer.Request{})
	}
	if q.Join(queuer.Request{}) != nil {
		t.Error("a request joined a full queue")
	}
	last.Leave()
	if q.Join(queuer.Request{}) == nil {
		t.Error("a request could not join after another one had left")
	}
}

func BenchmarkJoinLeave(b *testing.B) {
	var q queuer.Queue
	workspaces := make([]declaration.WorkspaceName, 24)
	for i := range workspaces {
		workspaces[i] = declaration.WorkspaceName(fmt.Sprint("workspace-", i))
	}
	request := func(i int) queuer.Request {
		return queuer.Request{Priority: i % 3, Workspace: workspaces[i*7%24], LatestStart: clock.Millis(i * 7919 % 6000), Target: 2000}
	}
	ring := make([]*queuer.Waiter, queuer.MaxWaiting)
	for i := range ring {
		ring[i] = q.Join(request(i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		at := i * 31 % len(ring)
		ring[at].Leave()
		ring[at] = q.Join(request(i))
	}
}

// TestCallersLeave checks that requests whose callers are gone leave nothing behind: neither the order to try, which one of
// them had and never used, nor their part of the workspace's turns. Load: a retry storm of one workspace, whose callers give up in the
// moment in which a server is freed.
func TestCallersLeave(t *testing.T) {
	var q queuer.Queue
	var storm []*queuer.Waiter
	for range 200 {
		storm = append(storm, q.Join(queuer.Request{Priority: 1, Workspace: "storm", LatestStart: 100, Target: 2000, Repeated: true}))
	}
	other := q.Join(queuer.Request{Priority: 2, Workspace: "other", LatestStart: 3000, Target: 6000})
	q.Wake()
	for _, w := range storm {
		w.Leave()
		w.Leave()
	}
	select {
	case <-other.C:
	default:
		t.Error("the request behind the storm isn't told to try")
	}
	later := q.Join(queuer.Request{Priority: 2, Workspace: "storm", LatestStart: 2900, Target: 6000})
	back := q.Join(queuer.Request{Priority: 1, Workspace: "storm", LatestStart: 5000, Target: 2000})
	rival := q.Join(queuer.Request{Priority: 1, Workspace: "rival", LatestStart: 5100, Target: 2000})
	for i, w := range []*queuer.Waiter{back, rival, later, other} {
		if !w.IsFirst() {
			t.Fatalf("request %d is not the next one; the workspace is still put back for callers that are gone", i)
		}
		w.Leave()
	}
	if q.Len() != 0 {
		t.Errorf("%d requests are left in the queue", q.Len())
	}
}
