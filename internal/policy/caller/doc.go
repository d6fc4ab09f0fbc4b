// Package caller decides where callers' requests go, how often they are tried
// and what callers are told.
package caller
