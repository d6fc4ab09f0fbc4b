package operator

import "time"

// A Window is one of the periods over which the burn rate is computed.
type Window int

// The windows, shortest first.
const (
	Window5m Window = iota
	Window30m
	Window1h
	Window6h

	windowCount
)

// windowDurations holds the length of each window.
var windowDurations = [windowCount]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Duration returns the length of the window.
func (w Window) Duration() time.Duration {
	return windowDurations[w]
}

// String returns the name that reports use.
func (w Window) String() string {
	return [windowCount]string{"5m", "30m", "1h", "6h"}[w]
}

// Windows returns every window, shortest first.
func Windows() []Window {
	return []Window{Window5m, Window30m, Window1h, Window6h}
}
