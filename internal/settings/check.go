package settings

import (
	"fmt"
	"net/netip"
	"os"
)

// minHeartbeats is the minimum ratio of the election timeout to the heartbeat
// interval, chosen so that a single lost heartbeat does not start an election.
const minHeartbeats = 3

func checkEntry(path string, s *Entry) error {
	listeners := []listener{{"operators", s.Listen.Operators, true}}
	if s.Listen.Forward == "" || s.Listen.Callers != "" || s.Listen.Peers != "" {
		listeners = append(listeners,
			listener{"callers", s.Listen.Callers, false},
			listener{"peers", s.Listen.Peers, true})
	}
	if s.Listen.ForwardPeers != "" {
		listeners = append(listeners, listener{"forward_peers", s.Listen.ForwardPeers, true})
	}
	for _, l := range listeners {
		if err := checkListenAddress(path, l); err != nil {
			return err
		}
	}
	if err := checkListenerTLS(path, listeners, s.TLS); err != nil {
		return err
	}
	addresses := newAddressOwners(path, "listen", listeners)
	if err := addresses.addPeers("control", "", s.Controls); err != nil {
		return err
	}
	if err := addresses.addPeers("peer", s.Node.ID, s.Peers); err != nil {
		return err
	}
	if err := checkRuntime(path, s.Runtime); err != nil {
		return err
	}
	return checkForward(path, s)
}

// minFDs is the least number of descriptors with which a process can serve clients and reach
// others.
const minFDs = 64

func checkRuntime(path string, r Runtime) error {
	if r.MaxFDs != 0 && r.MaxFDs < minFDs {
		return &Error{File: path, Section: "runtime", Key: "max_fds",
			Detail: fmt.Sprintf("must be at least %d, or 0 for the limit of the process", minFDs)}
	}
	return nil
}

// checkForward checks the settings of forwarded requests.
func checkForward(path string, s *Entry) error {
	if err := checkOptionalListenAddress(path, "forward", s.Listen.Forward); err != nil {
		return err
	}
	if err := checkOptionalListenAddress(path, "ready", s.Listen.Ready); err != nil {
		return err
	}
	if s.Listen.ForwardPeers != "" && s.Listen.Forward == "" {
		return &Error{File: path, Section: "listen", Key: "forward_peers",
			Detail: "needs the setting forward: a node that forwards no requests takes none from other nodes"}
	}
	if s.Listen.Forward != "" && len(s.Discovery.Seeds) == 0 {
		return &Error{File: path, Section: "discovery", Key: "seeds",
			Detail: "is missing: an entry node that forwards requests needs the address of at least one control process"}
	}
	return checkDiscovery(path, s.Discovery)
}

func checkListenAddress(path string, l listener) error {
	if l.address == "" {
		return &Error{File: path, Section: "listen", Key: l.key, Detail: "is missing"}
	}
	return checkOptionalListenAddress(path, l.key, l.address)
}

func checkOptionalListenAddress(path, key, address string) error {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &Error{File: path, Section: "listen", Key: key, Detail: fmt.Sprintf("%q isn't IP:port", address)}
	}
	return nil
}

func checkDiscovery(path string, d Discovery) error {
	if len(d.Seeds) == 0 {
		return nil
	}
	if d.Port < 0 || d.Port > 65535 {
		return &Error{File: path, Section: "discovery", Key: "port", Detail: fmt.Sprintf("%d isn't a port", d.Port)}
	}
	for _, seed := range d.Seeds {
		if err := checkDialable(seed); err != nil {
			return &Error{File: path, Section: "discovery", Key: "seeds", Detail: err.Error()}
		}
	}
	return nil
}

func checkControl(path string, s *Control) error {
	listeners := []listener{
		{"peers", s.Listen.Peers, true},
		{"operators", s.Listen.Operators, true},
	}
	if err := checkListenerTLS(path, listeners, s.TLS); err != nil {
		return err
	}
	if s.Replication.ElectionTimeout < minHeartbeats*s.Replication.Heartbeat {
		return &Error{File: path, Section: "replication", Key: "election_timeout",
			Detail: fmt.Sprintf("must be at least %d heartbeats", minHeartbeats)}
	}
	addresses := newAddressOwners(path, "listen", nil)
	if err := addresses.addPeers("member", "", s.Members); err != nil {
		return err
	}
	if err := checkDiscovery(path, s.Discovery); err != nil {
		return err
	}
	if err := checkOptionalListenAddress(path, "advertised", s.Listen.Advertised); err != nil {
		return err
	}
	if err := checkOptionalListenAddress(path, "targets", s.Listen.Targets); err != nil {
		return err
	}
	if err := checkRuntime(path, s.Runtime); err != nil {
		return err
	}
	return checkMembersIncludeSelf(path, s)
}

// checkMembersIncludeSelf rejects a list of founding members that lacks this
// process, which would otherwise found a group that it isn't part of. The list
// isn't needed with join = true, and may be empty if there are seeds.
func checkMembersIncludeSelf(path string, s *Control) error {
	if s.Join || len(s.Members) == 0 && len(s.Discovery.Seeds) > 0 {
		return nil
	}
	for _, member := range s.Members {
		if member.ID == s.Node.ID {
			return nil
		}
	}
	return &Error{File: path, Section: "member " + s.Node.ID,
		Detail: "is missing: the members must include this process, unless join = true"}
}

func checkSearcher(path string, s *Searcher) error {
	if len(s.Targets) == 0 {
		return &Error{File: path, Section: "target NAME", Detail: "is missing: a searcher process needs at least one"}
	}
	addresses := &addressOwners{path: path, owners: map[string]string{}}
	for _, target := range s.Targets {
		if err := addresses.add("target "+target.Name, "listen", target.Listen); err != nil {
			return err
		}
		if _, err := ParseShards(target.Shards, target.LayoutShards); err != nil {
			return &Error{File: path, Section: "target " + target.Name, Key: "shards", Detail: err.Error()}
		}
	}
	return nil
}

func checkCtl(path string, s *Ctl) error {
	if err := checkTLS(path, s.TLS); err != nil {
		return err
	}
	addresses := newAddressOwners(path, "listen", nil)
	if err := addresses.addPeers("control", "", s.Controls); err != nil {
		return err
	}
	for _, entry := range s.Entries {
		if err := addresses.add("entry "+entry.ID, "operators", entry.Operators); err != nil {
			return err
		}
	}
	return nil
}

// listener is an address that a process listens on, with its key in [listen].
type listener struct {
	key     string
	address string
	// internal is set for the listeners of operators and peers, which need TLS on
	// other addresses than loopback, unless insecure = true.
	internal bool
}

func checkListenerTLS(path string, listeners []listener, tls TLS) error {
	if err := checkTLS(path, tls); err != nil {
		return err
	}
	for _, l := range listeners {
		if l.internal && !tls.Enabled() && !tls.Insecure && !isLoopback(l.address) {
			return &Error{File: path, Section: "listen", Key: l.key,
				Detail: fmt.Sprintf("%s isn't a loopback address: set the certificates in [tls], or insecure = true there", l.address)}
		}
	}
	return nil
}

func checkTLS(path string, tls TLS) error {
	files := []struct{ key, value string }{
		{"certificate", tls.Certificate},
		{"key", tls.Key},
		{"authority", tls.Authority},
	}
	for _, file := range files {
		if !tls.Enabled() {
			break
		}
		if file.value == "" {
			return &Error{File: path, Section: "tls", Key: file.key, Detail: "is missing: certificate, key and authority must be set together"}
		}
		if _, err := os.Stat(file.value); err != nil {
			return &Error{File: path, Section: "tls", Key: file.key, Detail: fmt.Sprintf("file %s can't be read", file.value)}
		}
	}
	if tls.Enabled() && tls.Insecure {
		return &Error{File: path, Section: "tls", Key: "insecure", Detail: "can't be combined with certificates"}
	}
	return nil
}

func isLoopback(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().IsLoopback()
}

// addressOwners detects an address that is used twice in a settings file. owners
// maps each address to the section, or section and key, that uses it.
type addressOwners struct {
	path   string
	owners map[string]string
}

// newAddressOwners returns an addressOwners with the addresses of listeners, which
// are keys of section.
func newAddressOwners(path, section string, listeners []listener) *addressOwners {
	result := &addressOwners{path: path, owners: map[string]string{}}
	for _, l := range listeners {
		result.owners[l.address] = "[" + section + "] " + l.key
	}
	return result
}

// add returns an error if address is invalid or already in use. Port 0, which
// selects any free port, may be used repeatedly.
func (o *addressOwners) add(section, key, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return &Error{File: o.path, Section: section, Key: key, Detail: fmt.Sprintf("%q isn't IP:port", address)}
	}
	if parsed.Port() == 0 {
		return nil
	}
	if owner, used := o.owners[parsed.String()]; used {
		return &Error{File: o.path, Section: section, Key: key, Detail: fmt.Sprintf("%s is already used by %s", address, owner)}
	}
	o.owners[parsed.String()] = "[" + section + "]"
	return nil
}

// addPeers checks and adds the peers of one kind. None of them may have the ID
// selfID, if that is set.
func (o *addressOwners) addPeers(kind, selfID string, peers []Peer) error {
	for _, peer := range peers {
		section := kind + " " + peer.ID
		if selfID != "" && peer.ID == selfID {
			return &Error{File: o.path, Section: section, Detail: "has the same id as this node"}
		}
		if err := checkDialable(peer.Address); err != nil {
			return &Error{File: o.path, Section: section, Key: "address", Detail: err.Error()}
		}
		if err := o.add(section, "address", peer.Address); err != nil {
			return err
		}
	}
	return nil
}

// checkDialable returns an error unless address is an IP:port that can be dialled.
func checkDialable(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q isn't IP:port", address)
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		return fmt.Errorf("%s can't be dialled: the IP address is unspecified or the port is 0", address)
	}
	return nil
}
