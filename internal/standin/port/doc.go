// Package port picks free loopback addresses for processes that are started
// later.
package port
