package backendserver

// A Failure is what a cold stand-in does under more than it bears.
type Failure string

// The failures.
const (
	// FailureShed answers 503.
	FailureShed Failure = "Shed"
	// FailureErrors answers 500.
	FailureErrors Failure = "Errors"
	// FailureHang answers nothing until the client leaves.
	FailureHang Failure = "Hang"
	// FailureCrash ends all connections, and starts cold again a little later.
	FailureCrash Failure = "Crash"
)
