// Package backendhttp is the HTTP client with which a daemon sends requests and
// health checks to its own backend server.
package backendhttp
