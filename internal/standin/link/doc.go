// Package link is a stand-in for the network between two processes. It passes
// bytes on and can fall silent for the flows that exist while new ones work,
// or stop wholly.
package link
