// Package peer decides how daemons act together: which neighbours they have,
// how versions travel, and which daemon is the home of a keyed request.
package peer
