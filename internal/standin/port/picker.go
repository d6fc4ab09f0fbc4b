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
	// Ports below those that the system gives to outgoing connections, one of
	// which might otherwise take an address before the process that it is for.
	lowest, highest = 12000, 32000
	tries           = 100
)

// A Picker gives no address twice.
type Picker struct {
	mutex sync.Mutex
	given map[int]bool
}

// NewPicker returns a picker that has given no address.
func NewPicker() *Picker {
	return &Picker{given: make(map[int]bool)}
}

// Free returns an address on loopback that nothing listens on now.
func (p *Picker) Free() (lavenderridge.Address, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	x := errors.New("all are taken")
	for range tries {
		n := lowest + rand.N(highest-lowest)
		if p.given[n] {
			continue
		}
		a := fmt.Sprintf("127.0.0.1:%d", n)
		l, e := net.Listen("tcp", a)
		if e == nil {
			p.given[n] = true
			return lavenderridge.Address(a), l.Close()
		}
		x = e
	}
	return "", fmt.Errorf("port: no free address: %w", x)
}
