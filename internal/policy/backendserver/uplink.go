package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// linkShare is the part of a link's rate that responses get: the rest goes to
// headers, requests and control.
const linkShare = 0.9

// An Uplink follows the responses that leave over the daemon's own link, and
// those that running requests will bring. Its state is one atomic.
type Uplink struct {
	rate    float64 // bytes a second; zero when it is not known
	pending atomic.Int64
}

// NewUplink returns the uplink of a link that carries r bits a second; zero
// stands for a link that is never the bottleneck.
func NewUplink(r lavenderridge.BitRate) *Uplink {
	return &Uplink{rate: linkShare * float64(r) / 8}
}

// Add counts n bytes that are to be sent.
func (u *Uplink) Add(n lavenderridge.ByteCount) {
	u.pending.Add(int64(n))
}

// Sent takes away n bytes that were sent or will not be.
func (u *Uplink) Sent(n lavenderridge.ByteCount) {
	u.pending.Add(-int64(n))
}

// Backlog returns the time that the pending bytes take.
func (u *Uplink) Backlog() time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return time.Duration(float64(max(0, u.pending.Load())) / u.rate * float64(time.Second))
}
