package lavenderridge

// A ByteCount is a size in bytes.
type ByteCount int64

// Sizes in bytes.
const (
	Kibibyte ByteCount = 1 << 10
	Mebibyte ByteCount = 1 << 20
)
