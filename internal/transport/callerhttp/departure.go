package callerhttp

import (
	"context"
	"errors"
	"syscall"

	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// callerHasLeft reports whether the caller of the request with the context c has closed
// its connection. The HTTP library finds out as well, but only while the request is
// already being handled.
func callerHasLeft(c context.Context) bool {
	n := plainhttp.ConnOf(c)
	if n == nil {
		return false
	}
	r, e := n.SyscallConn()
	if e != nil {
		return false
	}
	g := false
	// Unlike Read, Control does not wait until the library's read ends.
	e = r.Control(func(d uintptr) {
		var b [1]byte
		k, _, x := syscall.Recvfrom(int(d), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		g = x == nil && k == 0 || errors.Is(x, syscall.ECONNRESET)
	})
	return e == nil && g
}
