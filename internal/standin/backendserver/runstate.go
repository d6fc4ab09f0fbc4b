package backendserver

// A RunState is the state of a run.
type RunState string

// The states of a run.
const (
	RunBegun    RunState = "Begun"
	RunFinished RunState = "Finished"
	// RunAborted is a run that was aborted by a crash, by the client's disconnection
	// or by its deadline.
	RunAborted RunState = "Cut"
)
