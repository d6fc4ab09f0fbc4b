// Package link is a TCP proxy that injects network faults between two processes:
// half-open connections, resets, partitions in one or both directions, and added
// latency.
package link
