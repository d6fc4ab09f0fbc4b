// Package trial runs the main job on one machine without any set-up and checks
// the promises that it can see.
package trial
