package peerhttp

// kind tells which call a message carries.
type kind byte

const (
	kindHandle kind = iota + 1
	kindExchange
	kindPull
	kindActivate
	kindHandOver
)

// status tells what a reply carries.
type status byte

const (
	statusReply status = iota + 1
	statusRefusal
)
