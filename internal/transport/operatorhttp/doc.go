// Package operatorhttp serves operators read-only views of one daemon over
// HTTP: its status, recent decisions, metrics and service-level burn.
package operatorhttp
