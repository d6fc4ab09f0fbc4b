package assembly

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	configpolicy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// configPart keeps the snapshot in force.
type configPart struct {
	store     *configpolicy.Store
	watcher   *configservice.Watcher
	exchanger peer.Exchanger
}

var _ lavenderridge.Readiness = (*configPart)(nil)

func newConfigPart(c context.Context, d *Daemon) (*configPart, error) {
	s, e := confighttp.NewClient(c, d.config.ConfigService)
	if e != nil {
		return nil, e
	}
	d.closeLater(s.Close)
	p := &configPart{
		store:     configpolicy.NewStore(canonicalcbor.NewCodec()),
		exchanger: peer.NewIdlePeer(d.sender),
	}
	p.watcher = configservice.NewWatcher(s, configservice.NewAcceptor(p.store, confighttp.Parser{}, d.clock, d.recorder, d.log), d.log)
	return p, nil
}

// Ready implements lavenderridge.Readiness.
func (p *configPart) Ready(time.Time) error {
	if p.store.Snapshot() == nil {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotReady, "no configuration in force yet")
	}
	return nil
}

func (p *configPart) run(c context.Context) error {
	return p.watcher.Run(c)
}
