package peerhttp

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Borrow lends what is wanted.
func (p *slowPeer) Borrow(_ context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	v := &lavenderridge.Loan{}
	for _, w := range q.Wants {
		v.Grants = append(v.Grants, lavenderridge.LoanGrant{Requests: w.Requests, Wait: w.Tenure, Refused: w.Returned > 0})
	}
	return v, nil
}

// TestBorrow checks that a request for loans and its reply are unchanged over a real
// connection, and how long their encodings are.
func TestBorrow(t *testing.T) {
	s := newSession(t)
	q := &lavenderridge.LoanRequest{Wants: []lavenderridge.LoanWant{
		{Customer: "customer-1", Requests: 3},
		{Customer: "customer-2", Requests: 300, Returned: 2, Tenure: 1500 * time.Millisecond},
	}}
	want := &lavenderridge.Loan{Grants: []lavenderridge.LoanGrant{
		{Requests: 3}, {Requests: 300, Wait: 1500 * time.Millisecond, Refused: true},
	}}
	n := &lavenderridge.Instance{ID: "b", Peer: s.link.Address()}
	p, e := s.client.Dial(n).Borrow(context.Background(), q)
	if e != nil || !reflect.DeepEqual(p, want) {
		t.Fatalf("got %+v, error %v; want %+v", p, e, want)
	}
	for v, m := range map[any]int{newWireLoanRequest(q): 37, newWireLoan(p): 15} {
		b, e := encode(1, v)
		if e != nil || len(b) != m {
			t.Errorf("%+v has %d bytes; want %d", v, len(b), m)
		}
	}
	b, _ := s.client.Traffic().Sent()
	o, _ := s.serverTransport.Traffic().Sent()
	const calls = 100
	for range calls {
		if _, e := s.client.Dial(n).Borrow(context.Background(), &lavenderridge.LoanRequest{Wants: q.Wants[:1]}); e != nil {
			t.Fatal(e)
		}
	}
	v, _ := s.client.Traffic().Sent()
	u, _ := s.serverTransport.Traffic().Sent()
	t.Logf("one call sends %d bytes with its frames, and its reply %d", (v-b)/calls, (u-o)/calls)
}

// TestBorrowOutOfRange checks that numbers that the policy never sends are refused.
func TestBorrowOutOfRange(t *testing.T) {
	for _, w := range []wireLoanWant{{Requests: -1}, {Returned: -1}, {Tenure: 1 << 63}} {
		if _, e := (&wireLoanRequest{Wants: []wireLoanWant{w}}).request(lavenderridge.Sender{}); e == nil {
			t.Errorf("%+v was accepted", w)
		}
	}
	for _, w := range []wireLoanGrant{{Requests: -1}, {Wait: 1 << 63}} {
		if _, e := (&wireLoan{Grants: []wireLoanGrant{w}}).loan(1); e == nil {
			t.Errorf("%+v was accepted", w)
		}
	}
	if _, e := (&wireLoan{}).loan(1); e == nil {
		t.Error("a reply without grants was accepted")
	}
}

// BenchmarkBorrow measures one call, with client and server in one process.
func BenchmarkBorrow(b *testing.B) {
	c, s := benchmarkPair(b)
	l := c.Dial(&lavenderridge.Instance{ID: "b", Peer: s.Address()})
	q := &lavenderridge.LoanRequest{Wants: []lavenderridge.LoanWant{{Customer: "customer-1", Requests: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, e := l.Borrow(context.Background(), q); e != nil {
			b.Fatal(e)
		}
	}
}
