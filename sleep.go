package lavenderridge

import (
	"context"
	"time"
)

// Sleep waits for the duration d. It returns early, with the error of c, if c is
// done before.
func Sleep(c context.Context, d time.Duration) error {
	if d <= 0 {
		return c.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
