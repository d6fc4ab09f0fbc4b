package backendserver

import "github.com/lavenderridge/lavenderridge"

// FairShares are the shares of customers in an overloaded backend server. They are in
// proportion to the rates of the customers' quotas. Customers with less than the mean rate,
// or without one, have the share of the mean: they take little of it, and a share as small
// as they are would make them wait a whole round for a second request.
type FairShares struct {
	costs map[lavenderridge.CustomerID]float64
}

// NewFairShares returns the shares of the customers of the catalogue c.
func NewFairShares(c *lavenderridge.Catalogue) *FairShares {
	s := &FairShares{}
	var m float64 // mean rate of the customers that have one
	n := 0
	for i := range c.Customers {
		if r := float64(c.Customers[i].Quota.Rate); r > 0 {
			m, n = m+r, n+1
		}
	}
	if n == 0 {
		return s
	}
	m /= float64(n)
	s.costs = make(map[lavenderridge.CustomerID]float64)
	for i := range c.Customers {
		if r := float64(c.Customers[i].Quota.Rate); r > m {
			s.costs[c.Customers[i].ID] = m / r
		}
	}
	return s
}

// Cost returns the part of a turn that one request of the customer c takes, which is at
// most one.
func (s *FairShares) Cost(c lavenderridge.CustomerID) float64 {
	if v, o := s.costs[c]; o {
		return v
	}
	return 1
}
