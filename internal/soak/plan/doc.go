// Package plan draws the faults of a soak from a seed.
package plan
