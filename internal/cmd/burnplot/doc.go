// Package burnplot draws a report of service-level burn.
package burnplot
