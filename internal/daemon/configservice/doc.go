// Package configservice keeps the snapshot in force up to date from the
// platform's configuration service.
package configservice
