package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = goneCase }

const (
	goneTime  = 20 * time.Second // for which questions are sent
	goneAfter = 500 * time.Millisecond
	// goneShare is the share of the clerks that leave, and goneWithin the time within which they do: half the objective.
	goneShare  = 0.2
	goneWithin = 4 * time.Second
	// few is the number of requests that may reach a server later than goneAfter.
	few = 3
)

// leaving sends a question and closes the connection after a while, without having got an answer.
func leaving(p *proc, id string, stay time.Duration) (left time.Time) {
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		return time.Time{}
	}
	body := strings.Repeat("p", 1500)
	_, err = io.WriteString(conn, head("POST", "/clerk/", id, budgetMs)+fmt.Sprintf("X-Model: *\r\nX-Token-Counts: %d,48\r\nX-Prefix-Hash: %s:%d\r\nContent-Length: %d\r\n\r\n%s", clerkTokens, id, clerkTokens, len(body), body))
	_ = conn.SetReadDeadline(time.Now().Add(stay))
	n, _ := conn.Read(make([]byte, 1))
	_ = conn.Close()
	if err != nil || n > 0 {
		return time.Time{} // it has got its answer, and didn't leave
	}
	return time.Now()
}

func goneCase(folder string, trouble bool) {
	l := newLab(folder, trouble)
	startDeployment(l, false)
	begin := time.Now()
	var mu sync.Mutex
	left := map[string]time.Time{}
	var clients sync.WaitGroup
	for user := range rulingUsers {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(user), 3))
			for n := user; time.Since(begin) < goneTime; n++ {
				time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				stream(l.procs[n%len(l.procs)], "/rulings/", fmt.Sprintf("ruling-%d-%d", user, n), rulingTokens, budgetMs)
			}
		})
	}
	random := rand.New(rand.NewPCG(1, 4))
	for n := 0; time.Since(begin) < goneTime; n++ {
		id, p := fmt.Sprintf("clerk-%d", n), l.procs[n%len(l.procs)]
		leaves, stay := random.Float64() < goneShare, time.Duration(random.Int64N(int64(goneWithin)))
		clients.Go(func() {
			if !leaves || !l.trouble {
				o := stream(p, "/clerk/", id, clerkTokens, budgetMs)
				l.note("%s sent to %s ended %.3f s later: %s", id, p.name, o.ended.Sub(o.sent).Seconds(), o.end)
				return
			}
			if at := leaving(p, id, stay); !at.IsZero() {
				l.note("the client of %s, sent to %s, left after %.3f s without an answer", id, p.name, stay.Seconds())
				mu.Lock()
				left[id] = at
				mu.Unlock()
			}
		})
		time.Sleep(clerkPause)
	}
	clients.Wait()
	late := 0
	for id, at := range left {
		arrived.mu.Lock()
		for _, a := range arrived.at[id] {
			if after := a.when.Sub(at); after > goneAfter {
				late++
				l.note("GONE: %s reaches %s %.3f s after its client has left", id, a.server, after.Seconds())
			}
		}
		arrived.mu.Unlock()
	}
	if late > few {
		l.end(broken, "%d requests of %d clients that had left reached a server over half a second later", late, len(left))
	}
	l.end(held, "%d requests of %d clients that had left reached a server over half a second later", late, len(left))
}
