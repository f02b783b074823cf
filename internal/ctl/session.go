package ctl

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// session holds the settings, clients and arguments of one wigeonctl command.
type session struct {
	settings      *settings.Ctl
	controlClient *controlClient
	entryClient   *entryClient
	out           output
	args          []string
	command       *urfave.Command
}

// withSession returns an action that rejects more than maxArgs arguments, opens a
// session, applies the time limit and writes a failure in the output format.
func withSession(maxArgs int, action func(context.Context, *session) error) urfave.ActionFunc {
	return func(ctx context.Context, command *urfave.Command) error {
		if command.Args().Len() > maxArgs {
			return cli.Usagef("unexpected argument %q", command.Args().Get(maxArgs))
		}
		s, err := openSession(command)
		if err != nil {
			return err
		}
		defer s.close()
		ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
		defer cancel()
		return s.out.writeFailure(action(ctx, s))
	}
}

func openSession(command *urfave.Command) (*session, error) {
	out, err := newOutput(command.Root().Writer, command.String(flagOutput))
	if err != nil {
		return nil, err
	}
	loaded, err := loadSettings(command)
	if err != nil {
		return nil, err
	}
	dial, err := controlDialer(loaded.TLS)
	if err != nil {
		return nil, err
	}
	entryNodes, err := newEntryClient(loaded)
	if err != nil {
		return nil, err
	}
	return &session{
		settings:      loaded,
		controlClient: newControlClient(wire.NewClient(dial), loaded.Controls),
		entryClient:   entryNodes,
		out:           out,
		args:          command.Args().Slice(),
		command:       command,
	}, nil
}

func (s *session) close() {
	s.controlClient.client.Close()
	s.entryClient.http.CloseIdleConnections()
}

// loadSettings reads the settings file, if one is given. The flags --control and
// --entry override its addresses.
func loadSettings(command *urfave.Command) (*settings.Ctl, error) {
	loaded := &settings.Ctl{}
	if path := command.String("config"); path != "" {
		var err error
		if loaded, err = settings.LoadCtl(path); err != nil {
			return nil, err
		}
	}
	if command.IsSet(flagControl) {
		loaded.Controls = nil
	}
	for _, address := range command.StringSlice(flagControl) {
		if err := checkAddress(flagControl, address); err != nil {
			return nil, err
		}
		loaded.Controls = append(loaded.Controls, settings.Peer{ID: address, Address: address})
	}
	if command.IsSet(flagEntry) {
		loaded.Entries = nil
	}
	for _, address := range command.StringSlice(flagEntry) {
		if err := checkAddress(flagEntry, address); err != nil {
			return nil, err
		}
		loaded.Entries = append(loaded.Entries, settings.EntryAddress{ID: address, Operators: address})
	}
	return loaded, nil
}

func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return cli.Usagef("--%s: %q isn't IP:port; names are not looked up", flag, address)
	}
	return nil
}

func checkConfig(_ context.Context, s *session) error {
	path := s.command.String("config")
	if path == "" {
		return cli.Usagef("--config FILE is required")
	}
	return s.out.write(struct {
		Config   string `json:"config"`
		Controls int    `json:"controls"`
		Entries  int    `json:"entries"`
	}{path, len(s.settings.Controls), len(s.settings.Entries)}, func(w io.Writer) {
		writeLine(w, "%s: ok, %d control processes, %d entry nodes", path, len(s.settings.Controls), len(s.settings.Entries))
	})
}

// operatorName returns the operator of tickets that wigeonctl creates: --operator, or
// else $USER.
func operatorName(command *urfave.Command) (string, error) {
	name := command.String("operator")
	if name == "" {
		name = os.Getenv("USER")
	}
	if name == "" {
		return "", cli.Usagef("--operator NAME is required if $USER is not set")
	}
	return name, nil
}

func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
