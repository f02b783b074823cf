package main

import (
	"fmt"
	"strings"
)

// Offsets of ports from the user's first.
const (
	entryPorts    = 10  // 10 more for each entry node
	controlPorts  = 210 // 10 more for each control process
	searcherPorts = 300
)

const lease = "3s"

// header tells readers where a file comes from.
const header = "# Written by go run ./internal/tools/examples; all addresses are on loopback.\n"

// files returns the user's files by name.
func (u user) files() map[string]string {
	files := map[string]string{
		"wigeonctl.ini":          u.ctl(),
		"ticket-1-services.ini":  u.serviceTicket(),
		"ticket-2-searchers.ini": u.searcherTicket(),
		"ticket-3-rule.ini":      u.ruleTicket(),
	}
	for i := range u.entries {
		files[u.entryID(i)+".ini"] = u.entry(i)
	}
	for i, dataCentre := range u.dataCentres {
		files["control-"+dataCentre+".ini"] = u.control(i)
		files["searchers-"+dataCentre+".ini"] = u.searcherProcess(dataCentre)
	}
	return files
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// entryID spreads entry nodes over data centres in blocks.
func (u user) entryID(i int) string {
	each := u.entries / len(u.dataCentres)
	return fmt.Sprintf("entry-%s-%d", u.dataCentres[i/each], i%each+1)
}

func (u user) entryDataCentre(i int) string {
	return u.dataCentres[i/(u.entries/len(u.dataCentres))]
}

func (u user) entryPort(i int) int {
	return u.port + entryPorts*(i+1)
}

func (u user) controlPort(i int) int {
	return u.port + controlPorts + entryPorts*i
}

func (u user) node(id, dataCentre string) string {
	return fmt.Sprintf("[node]\nid = %s\ndata_centre = %s\nregion = %s\n", id, dataCentre, u.region)
}

func (u user) entry(i int) string {
	var text strings.Builder
	port := u.entryPort(i)
	text.WriteString(header + "\n" + u.node(u.entryID(i), u.entryDataCentre(i)))
	fmt.Fprintf(&text, "\n[listen]\ncallers = %s\noperators = %s\npeers = %s\n", address(port+1), address(port+2), address(port+3))
	fmt.Fprintf(&text, "\n[telemetry]\ntrace_file = %s.trace\n", u.entryID(i))
	text.WriteString("\n[limits]\nmax_deadline = 10s\ndrain_time = 1s\n")
	u.writeControls(&text, "control")
	for other := range u.entries {
		if other == i {
			continue
		}
		writePeer(&text, "peer", u.entryID(other), u.entryPort(other)+3, u.entryDataCentre(other))
	}
	return text.String()
}

func (u user) writeControls(text *strings.Builder, kind string) {
	for i, dataCentre := range u.dataCentres {
		writePeer(text, kind, "control-"+dataCentre, u.controlPort(i)+1, dataCentre)
	}
}

func writePeer(text *strings.Builder, kind, id string, port int, dataCentre string) {
	fmt.Fprintf(text, "\n[%s %s]\naddress = %s\ndata_centre = %s\n", kind, id, address(port), dataCentre)
}

func (u user) control(i int) string {
	var text strings.Builder
	id := "control-" + u.dataCentres[i]
	port := u.controlPort(i)
	text.WriteString(header + "group = " + u.name + "\n\n" + u.node(id, u.dataCentres[i]))
	fmt.Fprintf(&text, "\n[listen]\npeers = %s\noperators = %s\n", address(port+1), address(port+2))
	fmt.Fprintf(&text, "\n[telemetry]\ntrace_file = %s.trace\n", id)
	fmt.Fprintf(&text, "\n# A relative folder is below the process's working folder.\n[storage]\nfolder = %s.data\n", id)
	u.writeControls(&text, "member")
	return text.String()
}

func (u user) ctl() string {
	var text strings.Builder
	text.WriteString(header)
	u.writeControls(&text, "control")
	for i := range u.entries {
		fmt.Fprintf(&text, "\n[entry %s]\noperators = %s\ndata_centre = %s\n", u.entryID(i), address(u.entryPort(i)+2), u.entryDataCentre(i))
	}
	return text.String()
}

func (u user) searcherProcess(dataCentre string) string {
	var text strings.Builder
	var announce []string
	for i := range u.entries {
		if u.entryDataCentre(i) == dataCentre {
			announce = append(announce, address(u.entryPort(i)+1))
		}
	}
	fmt.Fprintf(&text, "%sannounce = %s\n\n", header, strings.Join(announce, ", "))
	text.WriteString(u.node("searchers-"+dataCentre, dataCentre))
	fmt.Fprintf(&text, "\n[telemetry]\ntrace_file = searchers-%s.trace\n", dataCentre)
	for _, s := range u.searchers() {
		if s.dataCentre == dataCentre {
			s.write(&text, u.catalogue)
		}
	}
	return text.String()
}
