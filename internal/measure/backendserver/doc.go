// Package backendserver measures what a daemon's admission does for its
// backend server: goodput under overload, and recovery after a restart of all
// backend servers at once. It runs owners and stand-ins in one process, over
// sockets of the loopback interface.
package backendserver
