package telemetry

import (
	"context"
	"expvar"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

func TestCounterGroupIsPublishedWithItsCounts(t *testing.T) {
	group := NewCounterGroup("test", "seen", "lost")
	group.Counter("seen").Add(2)
	assert.DeepEqual(t, group.Snapshot(), map[string]int64{"seen": 2, "lost": 0})
	assert.Equal(t, expvar.Get("test").String(), `{"lost":0,"seen":2}`)
}

func TestSpansNameTheProcessAndItsVM(t *testing.T) {
	before := otel.GetTracerProvider()
	t.Cleanup(func() { otel.SetTracerProvider(before) })
	path := filepath.Join(t.TempDir(), "x.trace")
	stop, err := StartTracing("wigeon-entry", "e1", "oeste", path)
	assert.NilError(t, err)
	_, span := otel.Tracer("test").Start(t.Context(), "search")
	span.End()
	assert.NilError(t, stop(context.Background()))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, want := range []string{`"Name":"search"`, `"Value":"wigeon-entry"`, `"Value":"e1"`, `"Value":"oeste"`} {
		assert.Check(t, strings.Contains(string(data), want), "%s in %s", want, data)
	}
}

func TestTracingIsOffWithoutAFile(t *testing.T) {
	before := otel.GetTracerProvider()
	stop, err := StartTracing("p", "e1", "oeste", "")
	assert.NilError(t, err)
	assert.NilError(t, stop(t.Context()))
	assert.Check(t, otel.GetTracerProvider() == before)
	_, err = StartTracing("p", "e1", "oeste", filepath.Join(t.TempDir(), "none", "x"))
	assert.ErrorContains(t, err, "open trace file: ")
}

func TestLogSettingsWarnsOfUnsafeSettings(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	LogSettings(zap.New(core), false, "")
	assert.Equal(t, logs.Len(), 0)
	LogSettings(zap.New(core), true, "cuts")
	assert.Equal(t, logs.Len(), 2)
	assert.Equal(t, logs.All()[0].ContextMap()["event"], int64(InsecureListener.Number))
	assert.Equal(t, logs.All()[1].ContextMap()["file"], "cuts")
}
