// Package backendserver measures the effect of a daemon's admission control on its
// backend server: goodput under overload, and recovery after a simultaneous restart
// of all backend servers. The owner handlers and the stand-in backend servers run in
// this process and communicate over the loopback interface.
package backendserver
