package peerhttp

// kind is the first byte of a message and identifies the call.
type kind byte

const (
	kindHandle kind = iota + 1
	kindExchange
	kindPull
	kindActivate
	kindHandOver
	kindBorrow
)

// status is the first byte of a response body. It distinguishes a reply from a refusal.
type status byte

const (
	statusReply status = iota + 1
	statusRefusal
)
