package ctl

import "time"

// formatAge formats an age in milliseconds; a negative age means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
