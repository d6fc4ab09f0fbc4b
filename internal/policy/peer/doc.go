// Package peer decides how daemons cooperate: which daemons are neighbours, from
// which of them newer versions are pulled, and which daemon is the home of a
// keyed request.
package peer
