// Package mesh runs real daemons in one process, with a simulated configuration
// service and backend servers, for tests, trials and measurements.
package mesh
