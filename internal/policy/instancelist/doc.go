// Package instancelist validates a version of the platform's instance list
// before it is accepted.
package instancelist
