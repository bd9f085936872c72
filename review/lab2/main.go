// Command lab2 runs the scripted cases of the second review: the system's own processes against stand-ins for the
// platform's store, servers and clients. It exits with 1 if a rule was broken, 0 if all held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// lab is one run of a case.
type lab struct {
	record  *record
	store   *store
	dir     string
	trouble bool

	instances []*instance
	backends  []*backend
	broken    int
}

var cases = map[string]func(*lab) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return 2
	}
	r, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	l := &lab{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.close() // no process outlives the case
		os.Exit(2)
	}()
	if err := l.prepare(); err != nil {
		r.say("the case could not run: %v", err)
		return 2
	}
	if err := cases[os.Args[1]](l); err != nil {
		r.say("the case could not run: %v", err)
		return 2
	}
	if l.broken > 0 {
		r.say("the rule was broken")
		return 1
	}
	r.say("the rule held")
	return 0
}

func (l *lab) prepare() error {
	var err error
	if l.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return err
	}
	l.store, err = newStore(l.record)
	return err
}

func (l *lab) close() {
	for _, i := range l.instances {
		i.kill()
	}
	for _, b := range l.backends {
		b.close()
	}
	if l.store != nil {
		l.store.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println(l.dir)
	}
}

// startInstances starts n instances and waits until they are ready.
func (l *lab) startInstances(n int, d deployment) error {
	for k := range n {
		i, err := newInstance(k, d, l.dir, l.store.address, l.record)
		if err != nil {
			return err
		}
		l.instances = append(l.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	return awaitReady(l.instances, 20*time.Second)
}

func (l *lab) addBackend(b *backend) error {
	b.record, b.store = l.record, l.store
	if err := b.start(); err != nil {
		return err
	}
	l.backends = append(l.backends, b)
	return nil
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// key is the API key of the one tenant.
const key = "n2ctnfzs989anu6wsjnb"

// routes of a small deployment.
func streamRoute(timeoutMs int) map[string]any {
	return map[string]any{
		"name": "drafts", "host": "office.example", "path_prefix": "/drafts/", "route_kind": "streaming", "timeout_ms": timeoutMs, "target_ttft_ms": 4000,
		"target_itl_ms": 1500, "priority": 0, "sizes": []string{"m0", "m1", "m2"}, "service": "engines", "max_attempts": 3, "public": false, "sticky": true, "resumable": true,
	}
}

func plainRoute(name, kind string, attempts, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": "office.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": timeoutMs, "target_ttft_ms": 150,
		"priority": 2, "service": "desk", "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

func configOf(version int, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "engines", "health_path": "/healthz", "max_conns": 370, "warmup_s": 0, "cold_per_s": 0, "engine": map[string]any{
				"slots": 64, "kv_capacity": 430989, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": false, "backups": false, "stride": 4,
				"models": []map[string]any{{"name": "m0", "cost": 0.0086}, {"name": "m1", "cost": 0.064}, {"name": "m2", "cost": 0.13}},
			}},
			{"name": "desk", "health_path": "/healthz", "max_conns": 110, "warmup_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "office", "api_keys": []string{key}, "priority": 1}},
	}
}
