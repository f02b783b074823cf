package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

// TestAnnouncementOfAnUnknownServiceIsRefused guards against another writer that takes a target
// out of use by announcing it for a service that no ticket has created.
//
// fault: other-writer x search
func TestAnnouncementOfAnUnknownServiceIsRefused(t *testing.T) {
	h := newHarness(t, api.Service{})
	h.announce("t1", api.TargetReady, api.Snapshot{Version: 1})
	announced := func(target api.TargetID, service string) error {
		return h.state.CheckAnnouncement(api.Announcement{Target: target, Service: service, Incarnation: 9})
	}
	assert.ErrorContains(t, announced("t1", "log-agent"), "does not exist")
	assert.NilError(t, announced("t1", "lots"), "its own service, by a new incarnation")
	assert.NilError(t, announced("t2", "log-agent"), "a target that starts before its service is created")
}
