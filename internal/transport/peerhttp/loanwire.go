package peerhttp

import (
	"context"
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// wireLoanRequest is the wire form of a request for loans: arrays without field names,
// because each daemon sends several per second. The sender is the daemon that the
// certificate identifies.
type wireLoanRequest struct {
	_     struct{} `cbor:",toarray"`
	Wants []wireLoanWant
}

// wireLoanWant is the wire form of a LoanWant. Tenure is in milliseconds, rounded up, and
// at most maxTenure.
type wireLoanWant struct {
	_        struct{} `cbor:",toarray"`
	Customer lavenderridge.CustomerID
	Requests lavenderridge.Requests
	Returned lavenderridge.Requests
	Tenure   uint64
}

// wireLoan is the wire form of a loan.
type wireLoan struct {
	_      struct{} `cbor:",toarray"`
	Grants []wireLoanGrant
}

// wireLoanGrant is the wire form of a LoanGrant. Wait is in milliseconds, rounded up.
type wireLoanGrant struct {
	_        struct{} `cbor:",toarray"`
	Requests lavenderridge.Requests
	Wait     uint64
	Refused  bool
}

// Bounds of the times in these messages.
const (
	maxTenure   = time.Hour
	maxLoanWait = time.Minute
)

func newWireLoanRequest(q *lavenderridge.LoanRequest) *wireLoanRequest {
	w := &wireLoanRequest{Wants: make([]wireLoanWant, len(q.Wants))}
	for i, v := range q.Wants {
		w.Wants[i] = wireLoanWant{Customer: v.Customer, Requests: v.Requests, Returned: v.Returned, Tenure: milliseconds(min(v.Tenure, maxTenure))}
	}
	return w
}

func (w *wireLoanRequest) request(s lavenderridge.Sender) (*lavenderridge.LoanRequest, error) {
	q := &lavenderridge.LoanRequest{Sender: s, Wants: make([]lavenderridge.LoanWant, len(w.Wants))}
	for i, v := range w.Wants {
		if v.Requests < 0 || v.Returned < 0 || v.Tenure > uint64(maxTenure.Milliseconds()) {
			return nil, fmt.Errorf("peerhttp: loan request with a number out of range")
		}
		q.Wants[i] = lavenderridge.LoanWant{Customer: v.Customer, Requests: v.Requests, Returned: v.Returned, Tenure: time.Duration(v.Tenure) * time.Millisecond}
	}
	return q, nil
}

func newWireLoan(p *lavenderridge.Loan) *wireLoan {
	w := &wireLoan{Grants: make([]wireLoanGrant, len(p.Grants))}
	for i, v := range p.Grants {
		w.Grants[i] = wireLoanGrant{Requests: v.Requests, Wait: milliseconds(min(v.Wait, maxLoanWait)), Refused: v.Refused}
	}
	return w
}

// loan returns the reply to a request with n wants.
func (w *wireLoan) loan(n int) (*lavenderridge.Loan, error) {
	if len(w.Grants) != n {
		return nil, fmt.Errorf("peerhttp: %d grants for %d wants", len(w.Grants), n)
	}
	p := &lavenderridge.Loan{Grants: make([]lavenderridge.LoanGrant, n)}
	for i, v := range w.Grants {
		if v.Requests < 0 || v.Wait > uint64(maxLoanWait.Milliseconds()) {
			return nil, fmt.Errorf("peerhttp: loan with a number out of range")
		}
		p.Grants[i] = lavenderridge.LoanGrant{Requests: v.Requests, Wait: time.Duration(v.Wait) * time.Millisecond, Refused: v.Refused}
	}
	return p, nil
}

// milliseconds returns d in milliseconds, rounded up.
func milliseconds(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Millisecond - 1).Milliseconds())
}

// borrow handles the request for loans in b from the daemon s.
func (s *Server) borrow(c context.Context, b []byte, n lavenderridge.Sender) (any, error) {
	var w wireLoanRequest
	if e := decode(b, &w); e != nil {
		return nil, newNotRun(e.Error())
	}
	q, e := w.request(n)
	if e != nil {
		return nil, newNotRun(e.Error())
	}
	p, e := s.peer.Borrow(c, q)
	if e != nil {
		return nil, e
	}
	return newWireLoan(p), nil
}

// Borrow implements lavenderridge.Peer.
func (l *link) Borrow(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	w, e := roundTrip[wireLoan](c, l, kindBorrow, newWireLoanRequest(q))
	if e != nil {
		return nil, e
	}
	return w.loan(len(q.Wants))
}
