package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Events common to all processes, 5xxx.
var (
	InsecureListener      = Event{5003, zapcore.WarnLevel, "listener without TLS", "The settings contain insecure = true: operators and peers can reach this process over plain TCP. Configure certificates in [tls]."}
	FaultInjectionEnabled = Event{5004, zapcore.WarnLevel, "fault injection enabled", "The settings name a cut_file, which cuts this process off from other addresses. It is for failure tests only; remove the section [testing]."}
)

// ClientConnectionsClosed is logged by the bounds on what clients make a process hold.
var ClientConnectionsClosed = Event{5006, zapcore.WarnLevel, "client connections closed", "Clients made the process hold too much memory (reason memory) or too many connections (reason descriptors), and the given number of connections was closed since the last such line: those that held most for longest while they waited for their client. With reason refused, new connections were closed because all others were being served. The field addresses lists those with most bytes held. Logged at most once a second for each reason."}

// LogLinesDropped is logged after lines did not fit into the sink's buffer.
var LogLinesDropped = Event{5005, zapcore.WarnLevel, "log lines dropped", "The log output was not read fast enough; dropped is the number of lines discarded since the start."}

// CommonEvents lists the events in this file for Catalogue.
var CommonEvents = []Event{InsecureListener, FaultInjectionEnabled, LogLinesDropped, ClientConnectionsClosed}

// LogSettings warns of unsafe settings: listeners without TLS, and a cut file, which
// injects network faults in tests.
func LogSettings(logger *zap.Logger, insecure bool, cutFile string) {
	if insecure {
		InsecureListener.Log(logger)
	}
	if cutFile != "" {
		FaultInjectionEnabled.Log(logger, zap.String("file", cutFile))
	}
}
