// Package assembly joins the parts of a daemon and runs them.
package assembly
