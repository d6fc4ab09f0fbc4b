package backendserver

// A Failure is the reaction of a cold server to requests above its cold capacity.
type Failure string

// The failures.
const (
	// FailureShed responds 503.
	FailureShed Failure = "Shed"
	// FailureErrors responds 500.
	FailureErrors Failure = "Errors"
	// FailureHang sends no response until the client disconnects.
	FailureHang Failure = "Hang"
	// FailureCrash closes all connections and restarts the server cold after its
	// restart time.
	FailureCrash Failure = "Crash"
)
