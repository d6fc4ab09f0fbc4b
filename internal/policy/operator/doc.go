// Package operator works out service-level burn: how fast the requests of an
// entry use up what its objective allows to fail. A burn rate of 1 uses up
// exactly what is allowed; the time is always an argument.
package operator
