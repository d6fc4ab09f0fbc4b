// Package trial runs a small mesh under load on one machine, without any set-up,
// and checks the guarantees that can be observed from outside.
package trial
