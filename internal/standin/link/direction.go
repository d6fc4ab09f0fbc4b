package link

// A Direction is the direction in which bytes pass through a link.
type Direction int

// The directions, and their number.
const (
	ToTarget Direction = iota
	FromTarget
	directionCount
)
