package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site file sites/lamina-sul.toml, which the settings get too.
const (
	contactTime     = 4 * time.Second
	configApplyTime = 3 * time.Second
	drainTime       = 3 * time.Second
	graceTime       = 6 * time.Second
	budgetWindow    = 10 * time.Second
	budgetRatio     = 0.2
	budgetSlack     = 52
	heartbeatTime   = 1200 * time.Millisecond
	memoryMB        = 284
)

var zones = []string{"oeste-a", "serra-a", "litoral-a"}

// machine is a machine of the platform: an address of its own on loopback, and the one
// process that it runs.
type machine struct {
	name, ip, zone string
	values         map[string]string
	template       string
	program        string
	cluster        *cluster

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// restarts makes the platform start the process again when it has ended by itself,
	// and ownEnds counts how often it has.
	restarts bool
	ownEnds  int
}

// cluster is the part of a deployment that the deploy file starts.
type cluster struct {
	folder           string
	record           *record
	controls, fronts []*machine
	subnet           string
	port             int
}

// newCluster prepares controls and fronts, each in turn in one of the zones, and starts
// nothing.
func newCluster(rec *record, controls, fronts int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, record: rec, subnet: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))}
	if c.port, err = freePorts(c.subnet + ".1"); err != nil {
		return nil, err
	}
	for i := range controls {
		c.controls = append(c.controls, c.newMachine("core", i, "wigeon-control", "platform/control.ini.tmpl"))
	}
	var seeds []string
	for _, m := range c.controls[:min(3, controls)] {
		seeds = append(seeds, m.values["listen.control"])
	}
	for i := range fronts {
		c.fronts = append(c.fronts, c.newMachine("front", i, "wigeon-entry", "platform/entry.ini.tmpl"))
	}
	for _, m := range append(append([]*machine{}, c.controls...), c.fronts...) {
		m.values["seeds"] = strings.Join(seeds, ",")
	}
	return c, nil
}

// freePorts returns the first of a few ports that are free on an address.
func freePorts(ip string) (int, error) {
	for range 50 {
		port := 20000 + 10*rand.IntN(1500)
		free := true
		for offset := range 4 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+offset))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

func (c *cluster) newMachine(class string, i int, program, template string) *machine {
	host := 10 + i
	if class == "front" {
		host = 100 + i
	}
	zone := zones[i%len(zones)]
	m := &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone, i/len(zones)+1), ip: fmt.Sprintf("%s.%d", c.subnet, host), zone: zone,
		template: template, program: program, cluster: c,
	}
	m.values = map[string]string{
		"node": m.name, "ip": m.ip, "zone": zone, "region": strings.TrimSuffix(zone, "-a"), "bootstrap": "true",
		"internal_ports.0": fmt.Sprint(c.port + 3), "listen.control": fmt.Sprintf("%s:%d", m.ip, c.port),
		"listen.front": fmt.Sprintf("%s:%d", m.ip, c.port+1), "listen.ready": fmt.Sprintf("%s:%d", m.ip, c.port+2),
		"data_dir": filepath.Join(c.folder, m.name, "data"), "fault_tolerance.machines": "1",
		"bounds.retry_budget_ratio": fmt.Sprint(budgetRatio), "bounds.retry_budget_slack": fmt.Sprint(budgetSlack),
		"bounds.budget_window_s": fmt.Sprint(budgetWindow.Seconds()), "bounds.grace_s": fmt.Sprint(graceTime.Seconds()),
	}
	return m
}

var (
	present     = regexp.MustCompile(`(?s)\{\{#bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	absent      = regexp.MustCompile(`(?s)\{\{\^bootstrap\}\}(.*?)\{\{/bootstrap\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)\}\}`)
)

// writeSettings fills in the template of the deploy file, as the platform does.
func (m *machine) writeSettings() (string, error) {
	text, err := os.ReadFile(m.template)
	if err != nil {
		return "", err
	}
	kept, dropped := present, absent
	if m.values["bootstrap"] != "true" {
		kept, dropped = absent, present
	}
	filled := kept.ReplaceAllString(dropped.ReplaceAllString(string(text), ""), "$1")
	filled = placeholder.ReplaceAllStringFunc(filled, func(p string) string { return m.values[strings.Trim(p, "{}")] })
	folder := filepath.Join(m.cluster.folder, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(folder, "node.toml")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	path, err := m.writeSettings()
	if err != nil {
		return err
	}
	m.values["bootstrap"] = "false"
	log, err := os.OpenFile(filepath.Join(m.cluster.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join("target", m.program), "--config", path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	m.cluster.record.line("%s: %s started, process %d", m.name, m.program, command.Process.Pid)
	go func() {
		err := command.Wait()
		m.cluster.record.line("%s: process %d ended: %v", m.name, command.Process.Pid, err)
		close(exited)
		m.mu.Lock()
		again := m.restarts
		if again {
			m.ownEnds++
		}
		m.mu.Unlock()
		if again {
			time.Sleep(500 * time.Millisecond)
			if err := m.start(); err != nil {
				m.cluster.record.line("%s: %v", m.name, err)
			}
		}
	}()
	return nil
}

// setRestarts sets whether the platform starts the process again when it has ended by
// itself, and returns how often it has.
func (m *machine) setRestarts(restarts bool) (ownEnds int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restarts = restarts
	return m.ownEnds
}

// limitMemory kills the process, as the platform does, while it uses more than memory_mb,
// until done is closed.
func (m *machine) limitMemory(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		process := m.command.Process
		m.mu.Unlock()
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Pid))
		var size, resident int
		if _, scanErr := fmt.Sscan(string(text), &size, &resident); err != nil || scanErr != nil {
			continue // it has ended
		}
		if used := resident * os.Getpagesize() >> 20; used > memoryMB {
			m.cluster.record.line("%s: process %d uses %d MB, more than memory_mb", m.name, process.Pid, used)
			_ = process.Kill()
		}
	}
}

// end sends a signal, and SIGKILL after the grace time, and waits for the process.
func (m *machine) end(signal syscall.Signal) {
	m.mu.Lock()
	command, exited := m.command, m.exited
	m.mu.Unlock()
	if command == nil {
		return
	}
	select {
	case <-exited:
		return
	default:
	}
	m.cluster.record.line("%s: signal %v", m.name, signal)
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = command.Process.Kill()
		<-exited
	}
}

func (c *cluster) start() error {
	for _, m := range append(append([]*machine{}, c.controls...), c.fronts...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (c *cluster) stop() {
	for _, m := range append(append([]*machine{}, c.controls...), c.fronts...) {
		m.end(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs:", c.folder)
	}
}
