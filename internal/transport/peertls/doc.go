// Package peertls makes and loads the keys with which daemons prove to each
// other which instance they are and in which data centre.
package peertls
