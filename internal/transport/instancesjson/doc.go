// Package instancesjson reads and writes the platform's instance list in its
// published format, JSON with names in Pascal case.
package instancesjson
