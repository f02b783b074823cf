//go:build faults

package faults

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/freeport"
)

// binFolder holds the programs that make build produces.
const binFolder = "../../bin"

// process is a program that runs as a child process and is killed at the end of the
// test.
type process struct {
	t       *testing.T
	program string
	config  string
	folder  string
	command *exec.Cmd
}

// launch starts a program with the given settings in a folder of its own.
func launch(t *testing.T, program, name, settings string) *process {
	t.Helper()
	p := &process{t: t, program: program, folder: filepath.Join(t.TempDir(), name)}
	assert.NilError(t, os.MkdirAll(p.folder, 0o755))
	p.config = filepath.Join(p.folder, "settings.ini")
	assert.NilError(t, os.WriteFile(p.config, []byte(settings), 0o644))
	p.start()
	t.Cleanup(p.kill)
	return p
}

func (p *process) start() {
	p.t.Helper()
	path, err := filepath.Abs(filepath.Join(binFolder, p.program))
	assert.NilError(p.t, err)
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(p.t, err)
	defer log.Close()
	p.command = exec.Command(path, "--config", p.config)
	p.command.Dir = p.folder
	p.command.Stdout = log
	p.command.Stderr = log
	assert.NilError(p.t, p.command.Start())
}

// kill ends the process with SIGKILL, which leaves it no time to clean up.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) restart() {
	p.t.Helper()
	p.kill()
	p.start()
}

// suspend stops the process with SIGSTOP until resume.
func (p *process) suspend() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

func (p *process) resume() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// logTail returns the last 4000 bytes of the process's log.
func (p *process) logTail() string {
	const limit = 4000
	data, _ := os.ReadFile(filepath.Join(p.folder, "log"))
	return string(data[max(0, len(data)-limit):])
}

// freeAddresses returns free loopback addresses. They are chosen in advance, since
// processes must know each other's addresses before the first of them listens.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses := make([]string, n)
	for i := range addresses {
		var err error
		addresses[i], err = freeport.Address()
		assert.NilError(t, err)
	}
	return addresses
}
