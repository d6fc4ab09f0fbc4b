// Package convergence measures how fast a change of configuration comes into
// force in a fleet of real daemons on the loopback interface, and what that
// costs.
package convergence
