// Package activation measures the activation of homes: the time and the messages
// that it takes, and how long keyed requests are refused while a listed instance
// does not respond.
package activation
