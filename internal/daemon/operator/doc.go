// Package operator keeps what operators ask a daemon for: recent decisions,
// service-level burn and metrics. What it keeps is bounded, and nothing that a
// request passes through waits.
package operator
