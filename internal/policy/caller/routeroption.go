package caller

// A RouterOption changes a BalancedRouter.
type RouterOption func(*BalancedRouter)

// WithSubset bounds the number of targets of one service at one distance; the
// default is 16.
func WithSubset(n int) RouterOption {
	return func(b *BalancedRouter) { b.subset = n }
}

// WithRandom replaces the random numbers. The function f returns a number from
// 0 to below its argument.
func WithRandom(f func(n int) int) RouterOption {
	return func(b *BalancedRouter) { b.random = f }
}

// WithLeastCost makes the router choose the target with the least expected cost:
// the expected fraction of late and failed requests plus the cost of requests
// and bytes sent to other data centres. The targets must report their pace.
func WithLeastCost() RouterOption {
	return func(b *BalancedRouter) { b.leastCost = true }
}
