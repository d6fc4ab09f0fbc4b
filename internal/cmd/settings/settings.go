package settings

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// Defaults and bounds of the settings; docs/reference/settings.md lists them.
const (
	defaultOperator    = "127.0.0.1:7300"
	defaultMaxBody     = lavenderridge.Mebibyte
	maxMaxBody         = 64 * lavenderridge.Mebibyte
	defaultStopTimeout = 30 * time.Second
	minStopTimeout     = time.Second
	maxStopTimeout     = 10 * time.Minute
	defaultConnections = 130
	maxConnections     = 100_000
	defaultFleetSize   = 500
	maxFleetSize       = 100_000
	defaultDecisions   = 512
	maxDecisions       = 1 << 16
	defaultReload      = 10 * time.Second
	minReload          = 100 * time.Millisecond
	maxReload          = time.Hour
	maxStopDelay       = time.Minute
	defaultColdFactor  = 1.0
	defaultColdSlack   = 0.0
	maxColdFactor      = 10.0
	maxLinkMegabits    = 1e6
	megabit            = 1e6
	maxColdSlack       = 1000.0
	maxRatio           = 1.0
	maxExtraRetries    = 100_000
)

// Names of adapters.
const (
	adapterNone     = "None"
	adapterPlatform = "Platform"
)

// maxFile bounds a settings file.
const maxFile = lavenderridge.Mebibyte

// Settings is the content of a settings file.
type Settings struct {
	Daemon assembly.Config
	Log    Log
	// Adapter names the platform whose protocols are spoken.
	Adapter string

	ephemeral bool

	reader *reader
}

// Load reads and checks the settings file p. With the findings it returns what
// could be read of the file, or nil when the file could not be decoded.
func Load(p string) (*Settings, lavenderridge.Findings) {
	i, e := os.Stat(p)
	if e == nil && i.Size() > int64(maxFile) {
		e = fmt.Errorf("larger than %d bytes", maxFile)
	}
	var b []byte
	if e == nil {
		b, e = os.ReadFile(p)
	}
	if e != nil {
		return nil, lavenderridge.Findings{{Place: p, Message: plain(e)}}
	}
	s, f := Parse(p, b)
	if s == nil {
		return nil, f
	}
	s.checkKeys()
	return s, s.reader.sorted()
}

// Parse reads the settings b of the file p and checks all that needs no other
// file and no socket.
func Parse(p string, b []byte) (*Settings, lavenderridge.Findings) {
	r, f := newReader(p, b)
	if r == nil {
		return nil, f
	}
	s := &Settings{reader: r}
	s.read(r)
	r.unknown()
	return s, r.sorted()
}

func (s *Settings) read(r *reader) {
	s.readIdentity(r)
	s.readAddresses(r)
	s.readLimits(r)
	s.readPlatform(r)
	s.readKeys(r)
	s.Log = readLog(r)
}

func (s *Settings) readIdentity(r *reader) {
	s.Daemon.Instance = lavenderridge.InstanceID(r.name("Instance"))
	s.Daemon.DataCentre = lavenderridge.DataCentreID(r.name("DataCentre"))
	s.Daemon.Service = lavenderridge.ServiceID(r.name("Service"))
}

func (s *Settings) readAddresses(r *reader) {
	d := &s.Daemon
	d.Caller = r.address("Caller.Address", "")
	d.Peer = r.address("Peer.Address", "")
	d.Backend = r.address("Backend.Address", "")
	d.ConfigService = r.address("ConfigService.Address", "")
	d.Operator = r.address("Operator.Address", defaultOperator)
	r.distinct("Caller.Address", "Peer.Address", "Backend.Address", "ConfigService.Address", "Operator.Address")
	if !r.flag("Operator.AllowRemote", false) {
		r.loopback("Operator.Address", d.Operator)
	}
}

func (s *Settings) readLimits(r *reader) {
	d := &s.Daemon
	d.Connections = lavenderridge.Connections(r.count("Backend.Connections", defaultConnections, 1, maxConnections))
	d.MaxBody = r.size("Limits.MaxBody", defaultMaxBody, lavenderridge.Kibibyte, maxMaxBody)
	d.StopTimeout = r.duration("Limits.StopTimeout", defaultStopTimeout, minStopTimeout, maxStopTimeout)
	d.FleetSize = r.count("ConfigService.FleetSize", defaultFleetSize, 1, maxFleetSize)
	d.Decisions = r.count("Operator.Decisions", defaultDecisions, 1, maxDecisions)
}

func (s *Settings) readPlatform(r *reader) {
	d := &s.Daemon
	s.Adapter = r.choice("Adapter", adapterNone, adapterNone, adapterPlatform)
	d.Regions = make(map[lavenderridge.DataCentreID]lavenderridge.RegionID)
	for k, v := range r.table("Regions") {
		d.Regions[lavenderridge.DataCentreID(k)] = lavenderridge.RegionID(v)
	}
	d.Metrics = r.optionalAddress("Operator.Metrics")
	d.StopDelay = r.duration("Limits.StopDelay", 0, 0, maxStopDelay)
	d.LinkRate = lavenderridge.BitRate(r.fraction("Limits.LinkMegabits", 0, maxLinkMegabits) * megabit)
	d.ColdFactor = r.fraction("Backend.ColdFactor", defaultColdFactor, maxColdFactor)
	d.ColdSlack = r.fraction("Backend.ColdSlack", defaultColdSlack, maxColdSlack)
	d.RetryRatio = lavenderridge.Ratio(r.fraction("Retries.Ratio", 0, maxRatio))
	d.RetryExtra = r.count("Retries.Extra", 0, 0, maxExtraRetries)
}

func (s *Settings) readKeys(r *reader) {
	if s.ephemeral = r.flag("Keys.Ephemeral", false); s.ephemeral {
		return
	}
	s.Daemon.KeyFiles = peertls.Files{
		Authority:   r.path("Keys.Authority"),
		Certificate: r.path("Keys.Certificate"),
		Key:         r.path("Keys.Key"),
	}
	s.Daemon.KeyReloadInterval = r.duration("Keys.ReloadInterval", defaultReload, minReload, maxReload)
}

// checkKeys adds a finding for each fault of the key files.
func (s *Settings) checkKeys() {
	f := s.Daemon.KeyFiles
	if f.Authority == "" || f.Certificate == "" || f.Key == "" {
		return
	}
	_, e := f.Load(peertls.Identity{Instance: s.Daemon.Instance, DataCentre: s.Daemon.DataCentre}, time.Now())
	var a lavenderridge.Findings
	if errors.As(e, &a) {
		for _, v := range a {
			s.reader.add("Keys."+v.Place, "%s", v.Message)
		}
	}
}

// CheckPorts returns a finding for each address that the daemon is to listen
// on and that is in use.
func (s *Settings) CheckPorts() lavenderridge.Findings {
	r := s.reader.empty()
	r.free("Caller.Address", s.Daemon.Caller)
	r.free("Operator.Address", s.Daemon.Operator)
	r.free("Peer.Address", s.Daemon.Peer)
	return r.sorted()
}

// OperatorIsLoopback reports whether only this machine reaches the operator
// address.
func (s *Settings) OperatorIsLoopback() bool {
	return isLoopback(s.Daemon.Operator)
}

// Keys loads the certificate files.
func (s *Settings) Keys() (*peertls.Keys, error) {
	i := peertls.Identity{Instance: s.Daemon.Instance, DataCentre: s.Daemon.DataCentre}
	f := func() (*peertls.Keys, error) { return s.Daemon.KeyFiles.Load(i, time.Now()) }
	if s.ephemeral {
		f = func() (*peertls.Keys, error) { return peertls.NewEphemeralKeys(i, time.Now()) }
	}
	k, e := f()
	if e != nil {
		return nil, fmt.Errorf("settings: %w", e)
	}
	return k, nil
}

// plain returns the message of e without the path that the place shows.
func plain(e error) string {
	var p *os.PathError
	if errors.As(e, &p) {
		return p.Err.Error()
	}
	return e.Error()
}

// beside returns p, taken relative to the directory of the file f.
func beside(f, p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(f), p)
}

// UsesPlatform reports whether the adapter of the users' platform is set.
func (s *Settings) UsesPlatform() bool {
	return s.Adapter == adapterPlatform
}

// Names returns the key path of every setting, sorted.
func Names() []string {
	r, _ := newReader("", nil)
	s := &Settings{reader: r}
	s.read(r)
	return slices.Sorted(maps.Keys(r.used))
}
