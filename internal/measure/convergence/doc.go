// Package convergence measures how long a fleet of daemons takes to accept a
// changed document, and the traffic, processor time and memory that this needs.
// The daemons run in this process and communicate over the loopback interface.
package convergence
