//go:build !linux

package clock

import "time"

// sinceBoot tells that this system has no clock that counts suspensions.
func sinceBoot() (time.Duration, bool) { return 0, false }
