package lavenderridge

// The lowest and the highest status of a response that ends a request.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether s is an HTTP status that ends a request. Others are
// interim ones, a switch to another protocol, for which no daemon asks, or none at all.
func IsFinalStatus(s int) bool {
	return s >= minFinalStatus && s <= maxFinalStatus
}
