package lavenderridge

import (
	"context"
	"time"
)

// A ConfigService is a read-only client of the platform's configuration service.
// Each call counts against the service's rate limit.
type ConfigService interface {
	// Read returns the document d if its version is above v. Otherwise it waits
	// up to w for a newer version, and returns nil without an error if none was
	// published in that time.
	Read(c context.Context, d DocumentName, v Version, w time.Duration) (*Document, error)
}
