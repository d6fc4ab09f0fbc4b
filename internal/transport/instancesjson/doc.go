// Package instancesjson reads the platform's instance list in its published
// format, JSON with names in Pascal case.
package instancesjson
