// Package caller generates callers' requests at a set rate and measures what
// comes back.
package caller
