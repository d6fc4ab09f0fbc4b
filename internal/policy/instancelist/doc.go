// Package instancelist decides whether a version of the platform's instance
// list may come into force.
package instancelist
