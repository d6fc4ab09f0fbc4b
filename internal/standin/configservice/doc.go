// Package configservice is a stand-in for the platform's configuration
// service, for tests and trials.
package configservice
