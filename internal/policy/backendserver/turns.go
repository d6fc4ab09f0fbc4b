package backendserver

import (
	"math"

	"github.com/lavenderridge/lavenderridge"
)

// turns orders the waiting requests of one class by rounds, in each of which every customer
// has one turn (start-time fair queueing). A customer that sends more than the others waits
// for later rounds, and the others don't wait for it. Within a round, requests keep their
// order. It is not safe for concurrent use.
type turns struct {
	// round is that of the request admitted last.
	round float64
	// next holds the rounds in which the next requests of the customers have their turns,
	// for those who had one in the present round or wait.
	next map[lavenderridge.CustomerID]float64
}

// newTurns returns turns in which nobody waits.
func newTurns() *turns {
	return &turns{next: make(map[lavenderridge.CustomerID]float64)}
}

// take gives the request w its turn. Requests without a customer have theirs in the present
// round. If s is nil, no customer has waited yet.
func (s *turns) take(w *Waiter) {
	if s == nil {
		return
	}
	w.turn = s.round
	if w.customer == "" {
		return
	}
	w.turn = max(w.turn, s.next[w.customer])
	s.next[w.customer] = w.turn + w.cost
}

// admitted records that the request w has been admitted in its turn. One without a customer
// moves the round on by the share of one customer in it. Customers whose next turn would be
// in the new round or before are forgotten.
func (s *turns) admitted(w *Waiter) {
	if s == nil {
		return
	}
	r := max(s.round, roundOf(w))
	if n := len(s.next); w.customer == "" && n > 0 {
		// Otherwise customers would wait until no request without one does.
		r += 1 / float64(n)
	}
	if r <= s.round {
		return
	}
	s.round = r
	for c, n := range s.next {
		if n <= s.round {
			delete(s.next, c)
		}
	}
}

// abandoned gives the turn of w back, which has not been admitted: the requests of its
// customer behind it in the queue a move up. It reports whether there are any.
func (s *turns) abandoned(w *Waiter, a []*Waiter) bool {
	if s == nil || w.customer == "" {
		return false
	}
	m := false
	for _, o := range a {
		if o.customer == w.customer && o.class == w.class && o.turn > w.turn {
			o.turn, m = o.turn-w.cost, true
		}
	}
	if n, o := s.next[w.customer]; o {
		s.next[w.customer] = n - w.cost
	}
	return m
}

// reset forgets all turns, because nobody waits any more.
func (s *turns) reset() {
	s.round = 0
	clear(s.next)
}

// roundOf returns the round in which the request w has its turn.
func roundOf(w *Waiter) float64 {
	return math.Floor(w.turn)
}
