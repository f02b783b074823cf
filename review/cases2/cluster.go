package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site lamina-sul.
const (
	contactTime   = 4 * time.Second
	drainTime     = 3 * time.Second
	applyTime     = 3 * time.Second
	graceTime     = 6 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// zones are the zones of the site; each is the only one of its area, whose name is the first part.
var zones = []string{"oeste-a", "serra-a", "litoral-a"}

func regionOf(zone string) string { return strings.TrimSuffix(zone, "-a") }

// machine is one process of the system, on a loopback address of its own.
type machine struct {
	name, role, zone, ip string
	folder               string
	command              *exec.Cmd
	exited               chan struct{}
	startedAt            time.Time
}

// cluster is a small deployment of the system: one control process and some entry nodes in each
// zone.
type cluster struct {
	rec      *record
	folder   string
	programs string
	ports    ports
	controls []*machine
	entries  []*machine
	boot     bool

	mu      sync.Mutex
	running map[*machine]bool
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal, operators int }

func newCluster(rec *record, programs string, entriesPerZone int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "cases2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, folder: folder, programs: programs, boot: true, running: map[*machine]bool{}}
	for i, zone := range zones {
		c.controls = append(c.controls, &machine{name: "core-" + zone + "-1", role: "control", zone: zone, ip: fmt.Sprintf("127.21.%d.1", i+1)})
		for n := range entriesPerZone {
			c.entries = append(c.entries, &machine{
				name: fmt.Sprintf("front-%s-%d", zone, n+1), role: "entry", zone: zone, ip: fmt.Sprintf("127.21.%d.%d", i+1, n+11),
			})
		}
	}
	var chosen [5]int
	for i := range chosen {
		if chosen[i], err = c.freePort(chosen[:i]); err != nil {
			return nil, err
		}
	}
	c.ports = ports{chosen[0], chosen[1], chosen[2], chosen[3], chosen[4]}
	for _, m := range c.all() {
		m.folder = filepath.Join(folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) all() []*machine {
	return append(append([]*machine(nil), c.controls...), c.entries...)
}

// freePort returns a port that is free on all machines and not taken yet.
func (c *cluster) freePort(taken []int) (int, error) {
next:
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		for _, other := range taken {
			if other == port {
				continue next
			}
		}
		for _, m := range c.all() {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				continue next
			}
			_ = listener.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no port is free on all addresses")
}

// settings returns the settings file that platform/*.ini.tmpl yields for a machine.
func (c *cluster) settings(m *machine) string {
	seeds := make([]string, len(c.controls))
	for i, control := range c.controls {
		seeds[i] = fmt.Sprintf("%s:%d", control.ip, c.ports.control)
	}
	var out bytes.Buffer
	if m.role == "control" {
		fmt.Fprintf(&out, "join = %t\n\n[node]\nid = %s\n", !c.boot, m.ip)
	} else {
		fmt.Fprintf(&out, "[node]\nid = %s\n", m.name)
	}
	fmt.Fprintf(&out, "data_centre = %s\nregion = %s\n\n[listen]\n", m.zone, regionOf(m.zone))
	if m.role == "control" {
		fmt.Fprintf(&out, "peers = %s:%d\noperators = %s:%d\ntargets = %s:%d\n", m.ip, c.ports.internal, m.ip, c.ports.operators, m.ip, c.ports.control)
		fmt.Fprintf(&out, "\n[tls]\ninsecure = true\n\n[storage]\nfolder = %s\n\n[repair]\ntolerated_losses = 1\n", filepath.Join(m.folder, "data"))
	} else {
		fmt.Fprintf(&out, "forward = %s:%d\nready = %s:%d\noperators = %s:%d\nforward_peers = %s:%d\n",
			m.ip, c.ports.front, m.ip, c.ports.ready, m.ip, c.ports.operators, m.ip, c.ports.internal)
		fmt.Fprintf(&out, "\n[tls]\ninsecure = true\n")
	}
	fmt.Fprintf(&out, "\n[discovery]\nseeds = %s\nport = %d\n", strings.Join(seeds, ","), c.ports.internal)
	if m.role == "entry" {
		fmt.Fprintf(&out, "\n[forward]\nextra_ratio = 0.2\nextra_slack = 52\nextra_window = 10s\nshutdown_time = %v\ntarget_drain_time = %dms\n", graceTime, drainTime.Milliseconds())
		fmt.Fprintf(&out, "\n[runtime]\ngc_percent = 50\nmemory_mb = 284\nmax_fds = 4100\n")
	} else {
		fmt.Fprintf(&out, "\n[runtime]\ngc_percent = 50\nmemory_mb = 280\nmax_fds = 4096\n")
	}
	for _, zone := range zones {
		fmt.Fprintf(&out, "\n[data_centre %s]\nregion = %s\n", zone, regionOf(zone))
	}
	return out.String()
}

// start starts the process of a machine.
func (c *cluster) start(m *machine) error {
	config := filepath.Join(m.folder, "node.toml")
	if err := os.WriteFile(config, []byte(c.settings(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(filepath.Join(c.programs, "wigeon-"+m.role), "--config", config)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.startedAt = time.Now()
	exited := make(chan struct{})
	m.exited = exited
	command := m.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	c.mu.Lock()
	c.running[m] = true
	c.mu.Unlock()
	return nil
}

func (c *cluster) startAll(machines []*machine) error {
	for _, m := range machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	c.boot = false
	return nil
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(m *machine, s syscall.Signal) {
	c.rec.add("%v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// kill kills the processes of machines and waits until they have ended.
func (c *cluster) kill(machines []*machine) {
	for _, m := range machines {
		c.signal(m, syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.exited
		c.mu.Lock()
		delete(c.running, m)
		c.mu.Unlock()
	}
}

// stop ends all processes and removes the folder.
func (c *cluster) stop() {
	c.mu.Lock()
	left := make([]*machine, 0, len(c.running))
	for m := range c.running {
		left = append(left, m)
	}
	c.mu.Unlock()
	for _, m := range left {
		_ = m.command.Process.Signal(syscall.SIGCONT)
	}
	c.kill(left)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

func (c *cluster) frontOf(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, c.ports.front) }

func (c *cluster) controlOf(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, c.ports.control) }

var shortCalls = &http.Client{Timeout: time.Second}

// isReady reports whether an entry node passes the balancer's check.
func (c *cluster) isReady(m *machine) bool {
	response, err := shortCalls.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, c.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entry nodes are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range c.entries {
			if c.isReady(m) {
				ready++
			}
		}
		if ready == len(c.entries) {
			c.rec.add("all %d entry nodes are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entry nodes are ready after %v", ready, len(c.entries), limit)
		}
	}
}

// replaceConfig sends a configuration as an operator does, until it is acknowledged.
func (c *cluster) replaceConfig(version int, document string, limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		for _, m := range c.controls {
			status, _, err := c.call(http.MethodPost, m, "/Config.Replace", document)
			if err == nil && status == http.StatusOK {
				c.rec.add("configuration %d acknowledged by %s", version, m.name)
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
		if time.Now().After(end) {
			return fmt.Errorf("configuration %d was not acknowledged within %v", version, limit)
		}
	}
}

func (c *cluster) call(method string, m *machine, path, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+c.controlOf(m)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := shortCalls.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
