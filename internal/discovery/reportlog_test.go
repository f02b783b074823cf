package discovery

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

func TestReportsAreNumbered(t *testing.T) {
	var log ReportLog[api.Announcement]
	none, last := log.Since(0)
	assert.Equal(t, len(none), 0)
	assert.Equal(t, last, uint64(0))
	for i := range maxReports + 10 {
		log.Add(announcement(fmt.Sprint(i), 1, 1, api.TargetDraining, "10.0.0.1:80"))
	}
	all, last := log.Since(0)
	assert.Equal(t, len(all), maxReports, "the oldest ones are dropped")
	assert.Equal(t, last, uint64(maxReports+10))
	newest, _ := log.Since(last - 1)
	assert.Equal(t, len(newest), 1)
	assert.Equal(t, newest[0].Target, api.TargetID(fmt.Sprint(maxReports+9)))
	beyond, _ := log.Since(last + 5)
	assert.Equal(t, len(beyond), 0)
}
