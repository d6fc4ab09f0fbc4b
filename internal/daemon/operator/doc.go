// Package operator collects the data that a daemon gives to operators: recent
// decisions, counts for error budget burn rates, metrics and logs. All memory use
// is bounded, and no method that runs during a request blocks.
package operator
