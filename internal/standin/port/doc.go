// Package port finds addresses on this machine for processes that are started
// later.
package port
