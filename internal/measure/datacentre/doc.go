// Package datacentre measures the service that callers get while a data centre
// leaves and returns.
package datacentre
