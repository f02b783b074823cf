package watch

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wait"
)

// A watcher gets the records of targets from a control process in its own data centre if it
// can. Others offer what changed, and send only the records that it lacks.

const (
	// recordsWait is how long a watcher waits for missing records from another
	// control process before it requests them from this one: two round trips
	// between regions.
	recordsWait = 100 * time.Millisecond
	// compareInterval is the time between two comparisons of the records during
	// that wait: at least a tenth of a round trip between regions.
	compareInterval = 10 * time.Millisecond
)

// hasNearerSource reports whether the watcher gets the records from a control process
// in its own data centre rather than from p. The data centre of p is unknown before its
// first reply; until then the result is true, so that p sends no records. Without
// Config.Checksum the result is always false.
func (w *Watcher) hasNearerSource(p *controlProcess) bool {
	if w.cfg.Checksum == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case p.sameDataCentre:
		return false
	case !p.replied:
		return true
	}
	for _, other := range w.processes {
		if other.sameDataCentre && other.reachable {
			return true
		}
	}
	return false
}

// updateRevision advances the revision that the next poll confirms to that of the
// reply, unless the watcher lacks records of that revision. In that case the next poll
// requests offers or the records themselves.
func (w *Watcher) updateRevision(p *controlProcess, nearerSource bool, reply *controlrpc.WatchReply) {
	p.wantsTable = reply.WantTable
	if reply.Epoch != p.epoch {
		// One data centre's watchers suffice: control processes tell each other.
		p.restarted = reply.DataCentre == w.cfg.DataCentre
		p.epoch, p.revision, p.checksumDelta = reply.Epoch, 0, 0
		p.crashReportsSent = 0 // a process that has restarted knows no reports
	}
	offersRequested := p.wantsOffers || len(p.offers) > 0
	p.offers, p.offersRevision, p.wantsOffers = nil, 0, false
	switch {
	case len(reply.Offers) > 0 && len(w.cfg.Lacks(reply.Offers)) > 0:
		p.offers, p.offersRevision, p.offersChecksum = reply.Offers, reply.Revision, reply.RecordsChecksum
	case nearerSource && offersRequested:
		w.markCaughtUp(p, reply.Revision, reply.RecordsChecksum)
	case nearerSource && reply.DataCentre == w.cfg.DataCentre:
		// The process turned out to be in this data centre: the next poll brings
		// the records.
	case nearerSource && reply.Revision > p.revision && !w.awaitSameRecords(p, reply.RecordsChecksum):
		p.wantsOffers = true
	default:
		p.revision = reply.Revision
	}
}

// markCaughtUp records that the watcher has all records that p had at a revision.
func (w *Watcher) markCaughtUp(p *controlProcess, revision, checksum uint64) {
	p.revision, p.checksumDelta = revision, checksum^w.cfg.Checksum()
}

// awaitSameRecords reports whether the watcher's records match p's checksum, apart from
// the known checksumDelta. It waits up to recordsWait for a nearer control process to
// send the missing records.
func (w *Watcher) awaitSameRecords(p *controlProcess, checksum uint64) bool {
	for waited := time.Duration(0); ; waited += compareInterval {
		if difference := checksum ^ w.cfg.Checksum(); difference == 0 || difference == p.checksumDelta {
			return true
		}
		if waited >= recordsWait || !wait.Sleep(w.ctx, compareInterval) {
			return false
		}
	}
}

// recheckOffers returns the targets whose offered records the watcher still lacks, and
// a function to call when the poll that requests them has ended. Control processes
// offer the same records at about the same time, so the records are requested from one
// of them at a time; the offers of the others are checked again once it has replied or
// recordsWait has passed.
func (w *Watcher) recheckOffers(p *controlProcess) (lacks []api.TargetID, release func()) {
	release = func() {}
	if len(p.offers) == 0 {
		return nil, release
	}
	timer := time.NewTimer(recordsWait)
	defer timer.Stop()
	select {
	case w.requestSem <- struct{}{}:
		release = func() { <-w.requestSem }
	case <-timer.C:
	case <-w.ctx.Done():
	}
	if lacks = w.cfg.Lacks(p.offers); len(lacks) > 0 {
		return lacks, release
	}
	release()
	w.markCaughtUp(p, p.offersRevision, p.offersChecksum)
	p.offers = nil
	return nil, func() {}
}
