// Package configservice is a simulated configuration service for tests and trials.
package configservice
