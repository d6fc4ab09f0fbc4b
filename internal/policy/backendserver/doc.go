// Package backendserver decides what a daemon lets its own backend server
// bear.
package backendserver
