package caller

// Counts is the number of requests by their result.
type Counts struct {
	// Sent is the sum of the other numbers except Reasons. It excludes second
	// sends of keyed requests.
	Sent int
	// Answered counts responses of backend servers with a status below 500.
	Answered int
	// ServerErrors counts responses of backend servers with a status of 500 or
	// above.
	ServerErrors int
	// NotRun and Unknown count the daemons' refusals by their outcome: the
	// request was certainly not run, or it may have been run.
	NotRun  int
	Unknown int
	// Failed counts requests without a complete HTTP response within the timeout.
	Failed int
	// Reasons counts refusals by their reason.
	Reasons map[string]int
}

func (n *Counts) add(o *Counts) {
	n.Sent += o.Sent
	n.Answered += o.Answered
	n.ServerErrors += o.ServerErrors
	n.NotRun += o.NotRun
	n.Unknown += o.Unknown
	n.Failed += o.Failed
	for k, v := range o.Reasons {
		n.addReason(k, v)
	}
}

func (n *Counts) addReason(k string, v int) {
	if n.Reasons == nil {
		n.Reasons = make(map[string]int)
	}
	n.Reasons[k] += v
}
