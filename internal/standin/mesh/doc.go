// Package mesh runs real daemons with stand-ins for the configuration service
// and the backend servers in one process, for trials and measurements.
package mesh
