// Package settings reads and checks a daemon's settings file.
package settings
