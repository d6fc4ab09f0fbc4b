// Package lavenderridge holds the command line, one file for each command.
package lavenderridge
