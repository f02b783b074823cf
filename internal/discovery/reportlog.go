package discovery

import "slices"

// maxReports limits the reports that are kept for control processes that have not got them
// yet.
const maxReports = 256

// ReportLog is a numbered list of what a process has to report to control processes. The
// oldest reports are dropped. The zero value is empty.
type ReportLog[T any] struct {
	list []T
	last uint64
}

// Add appends a report.
func (l *ReportLog[T]) Add(report T) {
	l.list = append(l.list, report)
	l.last++
	if len(l.list) > maxReports {
		l.list = slices.Delete(l.list, 0, len(l.list)-maxReports)
	}
}

// Since returns the reports added after the one with the given number, and the number of
// the last one.
func (l *ReportLog[T]) Since(number uint64) ([]T, uint64) {
	count := min(l.last-min(number, l.last), uint64(len(l.list)))
	return slices.Clone(l.list[uint64(len(l.list))-count:]), l.last
}
