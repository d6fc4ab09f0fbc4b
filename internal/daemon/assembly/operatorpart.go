package assembly

import (
	"context"
	"fmt"
	"net"

	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// operatorPart answers operators.
type operatorPart struct {
	server *operatorhttp.Server
}

func newOperatorPart(d *Daemon) (*operatorPart, error) {
	l, e := net.Listen("tcp", string(d.config.Operator))
	if e != nil {
		return nil, fmt.Errorf("assembly: operator address: %w", e)
	}
	d.closeLater(l.Close)
	return &operatorPart{server: operatorhttp.NewServer(l, d.Status)}, nil
}

func (p *operatorPart) run(c context.Context) error {
	f := context.AfterFunc(c, func() { _ = p.server.Close() })
	defer f()
	return p.server.Start(context.WithoutCancel(c))
}
