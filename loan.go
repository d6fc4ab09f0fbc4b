package lavenderridge

// A Loan is the reply to a LoanRequest.
type Loan struct {
	// Grants has one element for each element of the request, in its order.
	Grants []LoanGrant
}
