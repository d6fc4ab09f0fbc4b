// Package settings reads and checks a daemon's settings file, which is a TOML
// document, and reloads it when it changes.
package settings
