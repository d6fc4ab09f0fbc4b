package operator

import "github.com/lavenderridge/lavenderridge"

// HeadLimits bounds the head of one request.
type HeadLimits struct {
	// Bytes bounds its size on the wire, with the request line.
	Bytes lavenderridge.ByteCount
	// Fields bounds the number of its lines after the request line.
	Fields int
}
