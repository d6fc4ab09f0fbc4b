// Command lavenderridge runs and inspects the daemons of the configuration
// distribution system.
package main

import (
	"os"

	"github.com/lavenderridge/lavenderridge/internal/cmd/lavenderridge"
)

func main() {
	os.Exit(lavenderridge.Run(os.Args[1:], os.Stdout, os.Stderr))
}
