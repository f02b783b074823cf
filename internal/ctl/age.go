package ctl

import "time"

// age renders an age in milliseconds; a negative one means never.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}
