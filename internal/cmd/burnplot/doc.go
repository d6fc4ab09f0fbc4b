// Package burnplot draws bar charts of the burn rates in a report of the burn
// command.
package burnplot
