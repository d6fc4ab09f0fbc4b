// Package configservice is a stand-in for the configuration service: a simulated
// service for tests and trials.
package configservice
