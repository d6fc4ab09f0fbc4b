// Package peer answers other daemons.
package peer
