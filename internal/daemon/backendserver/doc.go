// Package backendserver joins the decisions of the owner, the daemon beside a
// backend server, into the handler that meets the backend server.
package backendserver
