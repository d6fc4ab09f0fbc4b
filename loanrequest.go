package lavenderridge

// A LoanRequest asks a home of customers' quotas to lend to the daemon that sends it.
type LoanRequest struct {
	// Sender is the daemon that asks. The receiver sets it from the certificate.
	Sender Sender
	// Wants has at most one element for each customer.
	Wants []LoanWant
}
