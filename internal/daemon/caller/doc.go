// Package caller joins the decisions about callers' requests into the handler
// that meets the caller.
package caller
