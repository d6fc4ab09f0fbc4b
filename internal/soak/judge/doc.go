// Package judge checks the promises by what callers and backend servers saw of
// a soak.
package judge
