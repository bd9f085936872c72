package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// deployment is what the settings of all instances share.
type deployment struct {
	memoryMB, maxFDs int
	graceS           int
	zones            []string
}

// instance is one process of the system, started with the command of the deploy file.
type instance struct {
	name, zone, ip              string
	frontPort, readyPort, ports int
	settings                    string
	log                         *os.File
	record                      *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const settingsText = `node: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "region"
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d"}
port_range: [%[6]d, %[7]d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %[8]d, max_fds: %[9]d, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "pressure", "platform", "rollout"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: %[10]d, loss_slack_ms: 200,
  config_ms: 2000, downgrade_ms: 250, skew_max_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.9, budget_window_s: 10,
  retry_budget_slack: 58, exposure_share: 0.15, exposure_slack: 30, rollback_ms: 5000, cold_overrun: 1.5, cold_slack: 5, evacuate_ms: 5000,
  recovery_s: 12, max_delay_ms: 120, retry_after_s: 10, session_s: 5}
platform: {address: %[11]q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newInstance writes the settings of the n-th instance. Each has a loopback address of its own.
func newInstance(n int, d deployment, dir, storeAddress string, r *record) (*instance, error) {
	pid := os.Getpid()
	i := &instance{name: fmt.Sprintf("front-%d", n), zone: d.zones[n%len(d.zones)], ip: fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n+1), record: r}
	for _, port := range []*int{&i.frontPort, &i.readyPort, &i.ports} {
		var err error
		if *port, err = freePort(i.ip); err != nil {
			return nil, err
		}
	}
	i.settings = filepath.Join(dir, i.name+".yaml")
	text := fmt.Sprintf(settingsText, i.name, i.ip, i.zone, i.frontPort, i.readyPort, i.ports, i.ports, d.memoryMB, d.maxFDs, d.graceS, storeAddress)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	i.log, err = os.Create(filepath.Join(dir, i.name+".log"))
	return i, err
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.ip, i.frontPort) }

func (i *instance) start() error {
	cmd := exec.Command("target/dotterelwell", "entry")
	cmd.Env = []string{"DOTTERELWELL_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	i.record.add("platform: starts %s, process %d", i.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		i.record.add("platform: %s has ended: %v", i.name, err)
		close(exited)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.record.add("platform: sends %s to %s", s, i.name)
		_ = i.cmd.Process.Signal(s)
	}
}

func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// reload changes the settings file, as operators do, and tells the process.
func (i *instance) reload() error {
	raw, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settings, bytes.Replace(raw, []byte("session_s: 5}"), []byte("session_s: 6}"), 1), 0o600); err != nil {
		return err
	}
	i.signal(syscall.SIGHUP)
	return nil
}

// isReady asks for readiness as the platform does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/dotterelwell/readyz", i.ip, i.readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(all []*instance, within time.Duration) error {
	until := time.Now().Add(within)
	for _, i := range all {
		for !i.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// pid returns the identifier of the instance's process.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}
