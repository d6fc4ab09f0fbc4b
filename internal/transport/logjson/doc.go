// Package logjson reads the logs that daemons write in JSON.
package logjson
