package caller

import "github.com/lavenderridge/lavenderridge"

// A ForwardOption configures a ForwardHandler.
type ForwardOption func(*ForwardHandler)

// WithNotices makes the handler read with f what the header of a response says about the
// backend server. By default, it reads nothing.
func WithNotices(f func(lavenderridge.Header) lavenderridge.Notice) ForwardOption {
	return func(h *ForwardHandler) { h.notice = f }
}
