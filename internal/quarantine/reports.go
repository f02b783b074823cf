package quarantine

import "slices"

// maxReports limits the reports that are kept for processes that have not got them yet.
const maxReports = 256

// Reports is a numbered list of reports to send to other processes. The oldest ones are
// dropped. The zero value is empty.
type Reports struct {
	list []Report
	last uint64
}

// Add appends a report.
func (r *Reports) Add(report Report) {
	r.list = append(r.list, report)
	r.last++
	if len(r.list) > maxReports {
		r.list = slices.Delete(r.list, 0, len(r.list)-maxReports)
	}
}

// Since returns the reports added after the one with the given number, and the number of
// the last one.
func (r *Reports) Since(number uint64) ([]Report, uint64) {
	count := min(r.last-min(number, r.last), uint64(len(r.list)))
	return slices.Clone(r.list[uint64(len(r.list))-count:]), r.last
}
