package caller

// Counts tells how many requests ended in which way.
type Counts struct {
	Sent int
	// Answered counts responses of backend servers with a status below 500.
	Answered int
	// ServerErrors counts responses of backend servers with a status from 500.
	ServerErrors int
	// NotRun and Unknown count refusals by their outcome.
	NotRun  int
	Unknown int
	// Failed counts requests that got no HTTP response in time.
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
		n.reason(k, v)
	}
}

func (n *Counts) reason(k string, v int) {
	if n.Reasons == nil {
		n.Reasons = make(map[string]int)
	}
	n.Reasons[k] += v
}
