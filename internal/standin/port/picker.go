package port

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// minPort and maxPort bound the ports. They are below the ephemeral ports of
	// the system: an outgoing connection could otherwise use a port before the
	// process for which it was picked.
	minPort, maxPort = 12000, 32000
	maxTries         = 100
)

// A Picker returns free addresses, each only once: two processes that picked the
// same port once made a soak fail.
type Picker struct {
	mutex    sync.Mutex
	assigned map[int]bool
}

// NewPicker returns a picker that has returned no address yet.
func NewPicker() *Picker {
	return &Picker{assigned: make(map[int]bool)}
}

// Free returns a loopback address at which no process listens at present.
func (p *Picker) Free() (lavenderridge.Address, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	x := errors.New("all are taken")
	for range maxTries {
		n := minPort + rand.N(maxPort-minPort)
		if p.assigned[n] {
			continue
		}
		a := fmt.Sprintf("127.0.0.1:%d", n)
		l, e := net.Listen("tcp", a)
		if e == nil {
			p.assigned[n] = true
			return lavenderridge.Address(a), l.Close()
		}
		x = e
	}
	return "", fmt.Errorf("port: no free address: %w", x)
}
