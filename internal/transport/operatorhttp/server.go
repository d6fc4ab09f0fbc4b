package operatorhttp

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 30 * time.Second
	maxHeader         = 16 << 10
)

// A Server answers operators.
type Server struct {
	*kratoshttp.Server
}

// NewServer returns a server on the listener l. The function f gives the
// daemon's status.
func NewServer(l net.Listener, f func() Status) *Server {
	s := &Server{Server: kratoshttp.NewServer(
		kratoshttp.Listener(l),
		kratoshttp.Address(l.Addr().String()),
		kratoshttp.Timeout(0),
	)}
	s.ReadHeaderTimeout = readHeaderTimeout
	s.WriteTimeout = writeTimeout
	s.MaxHeaderBytes = maxHeader
	s.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f()) })
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
