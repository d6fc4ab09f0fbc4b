package caller

// A QuotaAnswer says what a QuotaAccount decides about a request.
type QuotaAnswer int

const (
	// QuotaAdmitted means that the request may run.
	QuotaAdmitted QuotaAnswer = iota
	// QuotaPending means that a home must be asked first.
	QuotaPending
	// QuotaExceeded means that the homes have nothing left for the moment.
	QuotaExceeded
	// QuotaUnreachable means that no home has answered or may lend for the moment.
	QuotaUnreachable
)
