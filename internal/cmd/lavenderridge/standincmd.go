package lavenderridge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/standin/configservice"
)

const (
	standinSlots        = 10
	standinPollInterval = 200 * time.Millisecond
	standinReadTimeout  = 5 * time.Second
)

// standinCmd runs stand-ins for the configuration service and for backend
// servers, for trials on one machine.
type standinCmd struct {
	clause        *kingpin.CmdClause
	out           io.Writer
	configAddress string
	catalogueFile string
	instancesFile string
	backends      map[string]string
	serviceTime   time.Duration
}

var _ command = (*standinCmd)(nil)

func newStandinCmd(a *kingpin.Application, w io.Writer) command {
	s := &standinCmd{
		clause:   a.Command("standin", "Run stand-ins for the configuration service and for backend servers, for trials on one machine."),
		out:      w,
		backends: map[string]string{},
	}
	s.clause.Flag("config", "Address of the configuration service.").Default("127.0.0.1:7500").StringVar(&s.configAddress)
	s.clause.Flag("catalogue", "Catalogue to publish; published again when the file changes.").Required().StringVar(&s.catalogueFile)
	s.clause.Flag("instances", "Instance list to publish; published again when the file changes.").Required().StringVar(&s.instancesFile)
	s.clause.Flag("backend", "Backend server to run, as INSTANCE=ADDRESS; may be repeated.").StringMapVar(&s.backends)
	s.clause.Flag("service-time", "Time that each request takes at a backend server.").Default("2ms").DurationVar(&s.serviceTime)
	return s
}

func (s *standinCmd) name() string {
	return s.clause.FullCommand()
}

func (s *standinCmd) run(c context.Context) error {
	v := configservice.NewServer(0)
	d := []*publishedFile{
		{path: s.catalogueFile, document: lavenderridge.DocumentCatalogue},
		{path: s.instancesFile, document: lavenderridge.DocumentInstanceList},
	}
	for _, p := range d {
		if e := p.publish(s.out, v); e != nil {
			return e
		}
	}
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return s.serve(c, s.configAddress, "configuration service", v) })
	for _, n := range slices.Sorted(maps.Keys(s.backends)) {
		h := backendserver.NewServer(lavenderridge.InstanceID(n), standinSlots, s.serviceTime)
		g.Go(func() error { return s.serve(c, s.backends[n], "backend server of "+n, h) })
	}
	g.Go(func() error { return s.watch(c, v, d) })
	return g.Wait()
}

// serve runs the server n with the handler h at the address a until c is done.
func (s *standinCmd) serve(c context.Context, a, n string, h http.Handler) error {
	l, e := net.Listen("tcp", a)
	if e != nil {
		return fmt.Errorf("standin: %s: %w", n, e)
	}
	_, _ = fmt.Fprintf(s.out, "%s on %s\n", n, l.Addr())
	x := context.WithoutCancel(c)
	v := &http.Server{Handler: h, ReadHeaderTimeout: standinReadTimeout}
	f := context.AfterFunc(c, func() {
		t, n := context.WithTimeout(x, time.Second)
		defer n()
		if v.Shutdown(t) != nil {
			_ = v.Close()
		}
	})
	defer f()
	if e := v.Serve(l); !errors.Is(e, http.ErrServerClosed) {
		return fmt.Errorf("standin: %s: %w", n, e)
	}
	return nil
}

// watch publishes each file of d again when its content changes, until c is
// done. Files that cannot be read are reported and tried again.
func (s *standinCmd) watch(c context.Context, v *configservice.Server, d []*publishedFile) error {
	t := time.NewTicker(standinPollInterval)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return nil
		case <-t.C:
		}
		for _, p := range d {
			if e := p.publish(s.out, v); e != nil {
				_, _ = fmt.Fprintln(s.out, e)
			}
		}
	}
}

// publishedFile is a file that is published as a document, with the content
// that was published last.
type publishedFile struct {
	path      string
	document  lavenderridge.DocumentName
	published []byte
}

// publish publishes the file if its content has changed since it was published
// last. An empty file is skipped, since it may be in the middle of being
// written.
func (p *publishedFile) publish(w io.Writer, v *configservice.Server) error {
	b, e := os.ReadFile(p.path)
	if e != nil {
		return fmt.Errorf("standin: %w", e)
	}
	if len(b) == 0 || bytes.Equal(b, p.published) {
		return nil
	}
	p.published = b
	n := v.Publish(p.document, b)
	_, e = fmt.Fprintf(w, "published %s version %d from %s\n", p.document, n, p.path)
	return e
}
