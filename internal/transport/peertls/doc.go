// Package peertls creates and loads the keys and certificates with which daemons
// prove their instance and data centre to each other in TLS handshakes.
package peertls
