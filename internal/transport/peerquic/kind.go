package peerquic

// kind tells which call a stream carries.
type kind byte

const (
	kindHandle kind = iota + 1
	kindExchange
	kindPull
	kindActivate
	kindHandOver
	// kindPing asks for an empty reply.
	kindPing
)

// status tells what a reply carries.
type status byte

const (
	statusReply status = iota + 1
	statusRefusal
)

const (
	protocol = "lavenderridge/1"

	codeCancelled = 1
	codeClosed    = 2
	codeSilent    = 3
)
