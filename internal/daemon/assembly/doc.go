// Package assembly creates the parts of a daemon, connects them and runs them
// until a planned shutdown.
package assembly
