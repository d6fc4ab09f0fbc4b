package judge

// A Result is how a request ended for its caller.
type Result string

// The results.
const (
	Answered Result = "Answered"
	NotRun   Result = "NotRun"
	Unknown  Result = "Unknown"
	// Broken tells that the connection ended without an answer.
	Broken Result = "Broken"
	// Unsent tells that no connection could be opened.
	Unsent Result = "Unsent"
)
