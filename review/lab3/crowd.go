package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowdCase }

// Figures of the crowd. A machine of the second deployment has 134 MB and 4,100 descriptors.
const (
	machineMB   = 134
	machineFDs  = 4100
	crowdSize   = 800
	calmSize    = 40
	promptBytes = 60_000 // the sheet's requests have up to 100,000
	promptParts = 1300
	crowdTime   = 10 * time.Second
	slowPause   = 700 * time.Millisecond // between events; the sheet allows 1,200 ms
)

// slowStream answers with events at the pace of a busy engine.
func slowStream(s **server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !(*s).check(w, r) {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/balance/") {
			_, _ = io.WriteString(w, "answer")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		fmt.Sscanf(r.Header.Get("Last-Event-Id"), "%d", &from)
		for n := from + 1; n <= events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(slowPause)
		}
	}
}

func crowdCase(folder string, trouble bool) {
	l := newLab(folder, trouble)
	l.store.put("config", "main", config(7, []map[string]any{
		route("/summary/", "streaming", "writers", map[string]any{"resumable": true}),
		route("/balance/", "idempotent", "desk", map[string]any{"timeout_ms": 600, "target_ttft_ms": 100}),
	}, "writers", "desk"))
	for n := range 9 {
		s := new(*server)
		*s = l.addServer(fmt.Sprintf("i-%d", n), map[bool]string{true: "writers", false: "desk"}[n < 6], "north-a", slowStream(s))
	}
	p := l.start("north-a", machineMB, machineFDs)
	l.awaitReady()
	time.Sleep(time.Second)
	l.note("before: VmHWM %d KiB", p.memoryKiB("VmHWM"))
	filler := "X-Prefix-Hash: "
	for n := range promptParts {
		filler += fmt.Sprintf("%x:1,", n)
	}
	filler += "f:1\r\n"
	body := strings.Repeat("p", promptBytes)
	size := calmSize
	if l.trouble {
		size = crowdSize
	}
	var mu sync.Mutex
	ends := map[string]int{}
	var clients sync.WaitGroup
	for n := range size {
		clients.Go(func() {
			text := head("POST", "/summary/x", fmt.Sprintf("s-%d", n), 12000) + filler + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			end := ""
			if resp, conn, err := ask(p.front(), text, 12*time.Second); err != nil {
				end = "no answer"
				if opError, ok := err.(*net.OpError); ok {
					end += ", " + opError.Op
				}
			} else {
				end = strconv.Itoa(resp.StatusCode)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = conn.Close()
			}
			mu.Lock()
			ends[end]++
			mu.Unlock()
		})
		if n%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.note("%d clients have connected; each head has %d bytes, with a prompt of %d parts, each body %d", size, len(head("POST", "/summary/x", "s-100", 12000))+len(filler)+30, promptParts, len(body))
	// The peak of the resident memory is compared with the machine's, as the project's own tests of crowds do.
	peak, anonymous, asked, answered := 0, 0, 0, 0
	for until, n := time.Now().Add(crowdTime), 0; time.Now().Before(until) && p.alive(); n++ {
		peak, anonymous = max(peak, p.memoryKiB("VmHWM")), max(anonymous, p.memoryKiB("RssAnon"))
		if n%10 == 0 {
			asked++
			text := head("GET", "/balance/x", fmt.Sprintf("o-%d", asked), 600) + "\r\n"
			if resp, conn, err := ask(p.front(), text, 600*time.Millisecond); err == nil {
				answered += map[bool]int{true: 1}[resp.StatusCode == http.StatusOK]
				_ = conn.Close()
			}
			l.note("VmRSS %d KiB, peak %d KiB; anonymous memory alone %d KiB", p.memoryKiB("VmRSS"), peak, p.memoryKiB("RssAnon"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	alive := p.alive()
	clients.Wait()
	l.note("ends of the clients: %v; an ordinary caller was answered %d of %d times meanwhile", ends, answered, asked)
	if !alive || peak > machineMB<<10 {
		l.end(broken, "the process took %d KiB, %d KiB of it anonymous; the machine has %d KiB; still running: %v", peak, anonymous, machineMB<<10, alive)
	}
	l.end(held, "the process took %d KiB of the machine's %d KiB", peak, machineMB<<10)
}
