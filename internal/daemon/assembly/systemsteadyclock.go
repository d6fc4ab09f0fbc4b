package assembly

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lavenderridge/lavenderridge"
)

// A SystemSteadyClock reads the time since the machine's start, which includes the time
// in which the machine was suspended. The monotonic clock of package time does not.
type SystemSteadyClock struct{}

var _ lavenderridge.SteadyClock = SystemSteadyClock{}

// NewSystemSteadyClock returns the clock, or an error if the system has none.
func NewSystemSteadyClock() (SystemSteadyClock, error) {
	var t unix.Timespec
	if e := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); e != nil {
		return SystemSteadyClock{}, fmt.Errorf("assembly: clock: %w", e)
	}
	return SystemSteadyClock{}, nil
}

// Elapsed implements lavenderridge.SteadyClock.
func (SystemSteadyClock) Elapsed() time.Duration {
	var t unix.Timespec
	// It can't fail once it has succeeded.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
