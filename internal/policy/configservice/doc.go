// Package configservice decides which versions of the catalogue and of the
// instance list come into force.
package configservice
