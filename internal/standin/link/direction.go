package link

// A Direction is that of bytes through a link.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
	directions
)
