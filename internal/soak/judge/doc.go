// Package judge checks the history of a soak test, as recorded at callers and
// backend servers, for violations of the system's guarantees.
package judge
