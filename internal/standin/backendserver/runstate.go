package backendserver

// A RunState tells how a run ended.
type RunState string

// The states of a run.
const (
	RunBegun    RunState = "Begun"
	RunFinished RunState = "Finished"
	// RunCut tells that a crash, the client's leaving or the deadline ended it.
	RunCut RunState = "Cut"
)
