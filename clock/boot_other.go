//go:build !linux

package clock

import "time"

// sinceBoot returns false: this operating system has no supported clock that includes
// the time of suspensions.
func sinceBoot() (time.Duration, bool) { return 0, false }
