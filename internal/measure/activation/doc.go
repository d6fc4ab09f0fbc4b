// Package activation measures what the activation of homes costs: its time, its
// messages, and how long keyed requests are refused while a listed instance
// does not answer.
package activation
