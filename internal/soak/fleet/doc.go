// Package fleet runs daemons as processes of their own, disturbs them by a plan
// and notes what callers and backend servers see. It signals only processes that
// it has started.
package fleet
