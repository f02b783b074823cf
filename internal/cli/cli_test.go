package cli

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	urfave "github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/settings"
)

func newTestDaemon(run func() error) (*urfave.Command, *bytes.Buffer, *bytes.Buffer) {
	daemon := Daemon[*settings.Ctl]{
		Name: "d",
		Load: settings.LoadCtl,
		Run:  func(context.Context, *settings.Ctl) error { return run() },
	}
	command := daemon.Command()
	var out, errs bytes.Buffer
	command.Writer, command.ErrWriter = &out, &errs
	return command, &out, &errs
}

func TestRunReturnsExitCodes(t *testing.T) {
	valid := filepath.Join(t.TempDir(), "good.ini")
	invalid := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(valid, []byte("[control c]\naddress=127.0.0.1:1\ndata_centre=x\n"), 0o600))
	assert.NilError(t, os.WriteFile(invalid, []byte("[control c]\naddress=c:1\n"), 0o600))
	cases := []struct {
		name    string
		args    []string
		run     error
		code    int
		message string
	}{
		{"success", []string{"--config", valid}, nil, ExitSuccess, ""},
		{"failure", []string{"--config", valid}, errors.New("boom"), ExitFailure, "d: boom\n"},
		{"in doubt", []string{"--config", valid}, InDoubtf("lost"), ExitInDoubt, "d: lost\n"},
		{"unknown flag", []string{"--nope"}, nil, ExitUsage, "d: flag provided but not defined: -nope\n"},
		{"no settings file", nil, nil, ExitUsage, "d: --config FILE is required\n"},
		{"unexpected argument", []string{"--config", valid, "x"}, nil, ExitUsage, "d: unexpected argument \"x\"\n"},
		{"invalid settings", []string{"--config", invalid}, nil, ExitUsage,
			"d: " + invalid + ": [control c] address: \"c:1\" isn't IP:port; names are not looked up\n"},
		{"check-config with invalid settings", []string{"--config", invalid, "check-config"}, nil, ExitUsage,
			"d: " + invalid + ": [control c] address: \"c:1\" isn't IP:port; names are not looked up\n"},
		{"version", []string{"--version"}, nil, ExitSuccess, ""},
		{"help", []string{"--help"}, nil, ExitSuccess, ""},
		{"completion", []string{"completion", "bash"}, nil, ExitSuccess, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			command, _, errs := newTestDaemon(func() error { return tc.run })
			code := Run(context.Background(), command, append([]string{"d"}, tc.args...))
			assert.Equal(t, errs.String(), tc.message)
			assert.Equal(t, code, tc.code)
		})
	}
}

func TestCheckConfigStartsNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "good.ini")
	assert.NilError(t, os.WriteFile(path, nil, 0o600))
	command, out, _ := newTestDaemon(func() error { t.Error("started"); return nil })
	code := Run(context.Background(), command, []string{"d", "check-config", "--config", path})
	assert.Equal(t, code, ExitSuccess)
	assert.Check(t, strings.HasSuffix(out.String(), ": ok\n"))
}

// TestRepeatedSIGTERMDoesNotAbortShutdown checks that a supervisor that repeats
// SIGTERM doesn't abort the graceful shutdown; only an interrupt after the first
// signal does.
func TestRepeatedSIGTERMDoesNotAbortShutdown(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []os.Signal
		exits   int
	}{
		{"one SIGTERM", []os.Signal{syscall.SIGTERM}, 0},
		{"repeated SIGTERM", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 0},
		{"one interrupt", []os.Signal{os.Interrupt}, 0},
		{"two interrupts", []os.Signal{os.Interrupt, os.Interrupt}, 1},
		{"interrupt during shutdown", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, os.Interrupt}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			signals := make(chan os.Signal, len(c.signals))
			for _, s := range c.signals {
				signals <- s
			}
			close(signals)
			shutdowns, exits := 0, 0
			handleSignals(signals, func() { shutdowns++ }, func(int) { exits++ })
			assert.Equal(t, shutdowns, 1)
			assert.Equal(t, exits, c.exits)
		})
	}
}

// TestSIGHUPBeforeServeDoesNotEndProcess sends SIGHUP before the daemon has read its
// settings. If Command didn't handle the signal, its default action would terminate
// the test process.
func TestSIGHUPBeforeServeDoesNotEndProcess(t *testing.T) {
	newTestDaemon(func() error { return nil })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
}
