package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// linkShare is the share of the link's rate that is available to responses.
// The rest is left for headers, requests and control messages.
const linkShare = 0.9

// An Uplink counts the bytes of responses that are still to be sent over the
// daemon's own link, including those that running requests are expected to
// produce. Its state is a single atomic.
type Uplink struct {
	rate    float64      // bytes per second; zero if it is not known
	pending atomic.Int64 // bytes
}

// NewUplink returns the uplink for a link of r bits per second. Zero stands for
// an unknown rate; the link then never counts as the bottleneck.
func NewUplink(r lavenderridge.BitRate) *Uplink {
	return &Uplink{rate: linkShare * float64(r) / 8}
}

// Add adds n bytes to those still to be sent.
func (u *Uplink) Add(n lavenderridge.ByteCount) {
	u.pending.Add(int64(n))
}

// Remove subtracts n bytes that were sent or will not be sent.
func (u *Uplink) Remove(n lavenderridge.ByteCount) {
	u.pending.Add(-int64(n))
}

// Backlog returns how long the link takes to send the pending bytes.
func (u *Uplink) Backlog() time.Duration {
	if u.rate <= 0 {
		return 0
	}
	return time.Duration(float64(max(0, u.pending.Load())) / u.rate * float64(time.Second))
}
