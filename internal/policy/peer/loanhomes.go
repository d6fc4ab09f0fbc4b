package peer

import (
	"github.com/lavenderridge/lavenderridge"
)

// LoanHomes are the homes of one customer's quota. Each lends an equal part of it.
type LoanHomes []*lavenderridge.Instance

// NewLoanHomes returns the homes of the quota of the customer d under the instance list
// l: the live instances with the highest rendezvous hashes. The catalogue has no part in
// the choice, so that a change of it moves no home.
func NewLoanHomes(l *lavenderridge.InstanceList, d lavenderridge.CustomerID) LoanHomes {
	h := make(LoanHomes, 0, maxHomes)
	var a [maxHomes]uint64
	for i := range l.Instances {
		n := &l.Instances[i]
		if n.State != lavenderridge.InstanceLive {
			continue
		}
		v := score(lavenderridge.IdempotencyKey(d), n.ID)
		j := len(h)
		for j > 0 && v > a[j-1] {
			j--
		}
		if j == maxHomes {
			continue
		}
		if len(h) < maxHomes {
			h = append(h, nil)
		}
		copy(h[j+1:], h[j:])
		copy(a[j+1:], a[j:])
		h[j], a[j] = n, v
	}
	return h
}

// Index returns the place of the instance n among the homes, or -1.
func (h LoanHomes) Index(n lavenderridge.InstanceID) int {
	for i, v := range h {
		if v.ID == n {
			return i
		}
	}
	return -1
}

// LoanRank returns the rank of the instance n for the customer d among the instances of
// the list l, by rendezvous hash, or -1 if it is not listed. A change of the list changes
// few ranks much.
func LoanRank(l *lavenderridge.InstanceList, d lavenderridge.CustomerID, n lavenderridge.InstanceID) int {
	r, o := 0, false
	v := score(lavenderridge.IdempotencyKey(d), n)
	for i := range l.Instances {
		m := l.Instances[i].ID
		if m == n {
			o = true
		} else if score(lavenderridge.IdempotencyKey(d), m) > v {
			r++
		}
	}
	if !o {
		return -1
	}
	return r
}
