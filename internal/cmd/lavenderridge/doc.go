// Package lavenderridge implements the command line, with one file for each
// command.
package lavenderridge
