package operatorhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const maxResponseSize = 16 * lavenderridge.Mebibyte

// A Client reads the operator views of one daemon.
type Client struct {
	http      *kratoshttp.Client
	transport *plainhttp.Transport
	address   lavenderridge.Address
}

// NewClient returns a client of the daemon with the operator address a.
func NewClient(c context.Context, a lavenderridge.Address) (*Client, error) {
	p := plainhttp.NewTransport(&http.Transport{})
	h, e := plainhttp.NewClient(c, p, 0)
	if e != nil {
		return nil, fmt.Errorf("operatorhttp: %w", e)
	}
	return &Client{http: h, transport: p, address: a}, nil
}

// Status returns the daemon's status.
func (l *Client) Status(c context.Context) (Status, error) {
	var s Status
	e := l.get(c, "/status", &s)
	return s, e
}

// Decisions returns the decisions that q selects, oldest first.
func (l *Client) Decisions(c context.Context, q DecisionQuery) ([]lavenderridge.Decision, error) {
	var a []lavenderridge.Decision
	e := l.get(c, "/decisions?"+q.values().Encode(), &a)
	return a, e
}

// Burn returns the daemon's counts of good and bad requests.
func (l *Client) Burn(c context.Context) (BurnCounts, error) {
	var b BurnCounts
	e := l.get(c, "/burn", &b)
	return b, e
}

// Close closes idle connections.
func (l *Client) Close() error {
	l.transport.CloseIdleConnections()
	return l.http.Close()
}

func (l *Client) get(c context.Context, p string, v any) error {
	r, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+string(l.address)+p, http.NoBody)
	if e != nil {
		return fmt.Errorf("operatorhttp: %w", e)
	}
	a, e := l.http.Do(r)
	if e != nil {
		return fmt.Errorf("operatorhttp: %w", e)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("operatorhttp: %s responded with %s", l.address, a.Status)
	}
	if e := json.NewDecoder(io.LimitReader(a.Body, int64(maxResponseSize))).Decode(v); e != nil {
		return fmt.Errorf("operatorhttp: decode response of %s: %w", l.address, e)
	}
	return nil
}
