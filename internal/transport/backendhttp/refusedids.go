package backendhttp

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// defaultRefusalRetention is how long the ID of a refused request without a deadline
// is kept.
const defaultRefusalRetention = 10 * time.Second

// refusedIDs holds the IDs of the requests that the backend server has refused over a
// connection that may still be open, each until the deadline of its request.
type refusedIDs struct{ ids sync.Map }

// add adds the ID d of a request with the context c.
func (r *refusedIDs) add(c context.Context, d lavenderridge.RequestID) {
	n := defaultRefusalRetention
	if t, o := c.Deadline(); o {
		n = time.Until(t)
	}
	r.ids.Store(d, struct{}{})
	time.AfterFunc(n, func() { r.ids.Delete(d) })
}

func (r *refusedIDs) contains(d lavenderridge.RequestID) bool {
	_, o := r.ids.Load(d)
	return o
}
