package lavenderridge

import (
	"context"
	"time"
)

// Sleep waits for the time d. It returns earlier, with the error of c, when c
// ends.
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
