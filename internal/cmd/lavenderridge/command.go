package lavenderridge

import "context"

// command is one command of the command line.
type command interface {
	name() string
	run(c context.Context) error
}
