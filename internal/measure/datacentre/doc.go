// Package datacentre measures the success and latency of callers' requests while a
// data centre is taken out of service and returns.
package datacentre
