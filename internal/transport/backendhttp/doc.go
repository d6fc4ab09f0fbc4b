// Package backendhttp runs requests at the daemon's own backend server over
// HTTP.
package backendhttp
