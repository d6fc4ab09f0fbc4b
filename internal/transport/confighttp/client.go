package confighttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// VersionHeader is the response header with a document's version.
const VersionHeader = "X-Document-Version"

const (
	maxDocument = 4 * lavenderridge.Mebibyte
	// responseGrace is the time beyond the requested wait after which a response
	// must begin, and the longest pause in it.
	responseGrace = time.Second
	// transferTimeout bounds the time that a whole response takes beyond that.
	transferTimeout = 5 * time.Second
)

// A Client reads documents from the configuration service.
type Client struct {
	http      *kratoshttp.Client
	address   lavenderridge.Address
	transport *plainhttp.Transport
}

var _ lavenderridge.ConfigService = (*Client)(nil)

// NewClient returns a client of the configuration service at the address a.
func NewClient(c context.Context, a lavenderridge.Address) (*Client, error) {
	p := plainhttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute})
	h, e := plainhttp.NewClient(c, p, 0)
	if e != nil {
		return nil, fmt.Errorf("confighttp: %w", e)
	}
	return &Client{http: h, address: a, transport: p}, nil
}

// Read implements lavenderridge.ConfigService.
func (l *Client) Read(c context.Context, d lavenderridge.DocumentName, v lavenderridge.Version, w time.Duration) (*lavenderridge.Document, error) {
	c, f := context.WithTimeout(c, w+responseGrace+transferTimeout)
	defer f()
	c, k := plainhttp.WithProgress(c, w, responseGrace)
	defer k.Stop()
	q := url.Values{"after": {strconv.FormatUint(uint64(v), 10)}, "wait": {w.String()}}
	u := fmt.Sprintf("http://%s/v1/documents/%s?%s", l.address, d, q.Encode())
	r, e := http.NewRequestWithContext(c, http.MethodGet, u, http.NoBody)
	if e != nil {
		return nil, fmt.Errorf("confighttp: %w", e)
	}
	p, e := l.http.Do(r)
	if e != nil {
		return nil, fmt.Errorf("confighttp: read %s: %w", d, k.Error(e))
	}
	defer func() { _ = p.Body.Close() }()
	n, e := readDocument(d, p, k.Reader(p.Body))
	return n, k.Error(e)
}

// readDocument returns the document d in the response p with the body r, or nil if
// there is no newer version.
func readDocument(d lavenderridge.DocumentName, p *http.Response, r io.Reader) (*lavenderridge.Document, error) {
	if p.StatusCode == http.StatusNotModified {
		return nil, nil
	}
	if p.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("confighttp: read %s: status %d", d, p.StatusCode)
	}
	v, e := strconv.ParseUint(p.Header.Get(VersionHeader), 10, 64)
	if e != nil || v == 0 {
		return nil, fmt.Errorf("confighttp: read %s: bad %s header: %q", d, VersionHeader, p.Header.Get(VersionHeader))
	}
	b, e := io.ReadAll(io.LimitReader(r, int64(maxDocument)+1))
	if e != nil {
		return nil, fmt.Errorf("confighttp: read %s: %w", d, e)
	}
	if lavenderridge.ByteCount(len(b)) > maxDocument {
		return nil, fmt.Errorf("confighttp: read %s: more than %d bytes", d, maxDocument)
	}
	return &lavenderridge.Document{Name: d, Version: lavenderridge.Version(v), Body: b}, nil
}

// Close closes idle connections.
func (l *Client) Close() error {
	l.transport.CloseIdleConnections()
	return l.http.Close()
}
