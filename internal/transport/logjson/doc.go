// Package logjson parses the JSON logs of daemons.
package logjson
