package lavenderridge

import "context"

// command is a command of the command line, such as "keys issue".
type command interface {
	name() string
	run(c context.Context) error
}
