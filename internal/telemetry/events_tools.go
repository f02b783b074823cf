package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Events that every process can have, 5xxx.
var (
	InsecureListener = Event{5003, zapcore.WarnLevel, "listener without TLS", "The settings say insecure = true: operators and peers can reach this process over plain TCP. Name certificates in [tls]."}
	CutsFollowed     = Event{5004, zapcore.WarnLevel, "follows a file of cuts", "The settings name a file that cuts this process off from others. It is for tests of failures; remove [testing]."}
)

// LogLinesDropped is written when lines were left out.
var LogLinesDropped = Event{5005, zapcore.WarnLevel, "log lines dropped", "Nobody read the log fast enough; dropped is the number of lines left out since the start."}

// ToolsEvents lists the events of this file, for the catalogue.
var ToolsEvents = []Event{InsecureListener, CutsFollowed, LogLinesDropped}

// LogSettings logs the settings that an operator must not overlook: listeners
// without TLS, and a file of cuts for tests.
func LogSettings(logger *zap.Logger, insecure bool, cutFile string) {
	if insecure {
		InsecureListener.Log(logger)
	}
	if cutFile != "" {
		CutsFollowed.Log(logger, zap.String("file", cutFile))
	}
}
