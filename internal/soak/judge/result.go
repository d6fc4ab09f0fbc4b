package judge

// A Result is the outcome of a request as its caller observed it.
type Result string

// The results.
const (
	// Answered is a response with status 200.
	Answered Result = "Answered"
	// NotRun is a refusal that states that the request was not run.
	NotRun Result = "NotRun"
	// Unknown is a time-out or any other response: the request may have run.
	Unknown Result = "Unknown"
	// Broken is a connection that closed without a complete response.
	Broken Result = "Broken"
	// Unsent is a request for which no connection could be opened.
	Unsent Result = "Unsent"
)
