package settings

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// Defaults and bounds of the settings; docs/reference/settings.md lists them.
const (
	defaultOperator    = "127.0.0.1:7300"
	defaultMaxBody     = lavenderridge.Mebibyte
	maxMaxBody         = 64 * lavenderridge.Mebibyte
	defaultStopTimeout = 30 * time.Second
	minStopTimeout     = time.Second
	minApplyWithin     = time.Second
	maxApplyWithin     = time.Minute
	// platformApplyWithin is the shortest time that the platform promises its operators.
	platformApplyWithin   = 2 * time.Second
	maxStopTimeout        = 10 * time.Minute
	defaultConnections    = 130 // to one backend server
	maxConnections        = 100_000
	defaultFleetSize      = 500 // daemons
	maxFleetSize          = 100_000
	defaultDecisions      = 512 // of each event
	maxDecisions          = 1 << 16
	defaultReloadInterval = 10 * time.Second
	minReloadInterval     = 100 * time.Millisecond
	maxReloadInterval     = time.Hour
	maxStopDelay          = time.Minute
	minGrace              = 3 * time.Second
	maxGrace              = 15 * time.Minute
	defaultColdFactor     = 1.0 // times the rate of the cold backend server
	defaultColdSlack      = 0.0 // requests per second
	maxColdFactor         = 10.0
	maxLinkMegabits       = 1e6
	maxMemoryMegabytes    = 1e6
	bodyMemoryShare       = 0.625 // of the daemon's memory
	maxBodyMemory         = 1 << 20 * lavenderridge.Mebibyte
	bitsPerMegabit        = 1e6
	bytesPerMegabyte      = 1e6
	maxColdSlack          = 1000.0
	maxDescriptors        = 1 << 20
	minDescriptors        = 256
	minDoorConnections    = 16
	minDoorMemory         = 256 * lavenderridge.Kibibyte
	minSendPause          = time.Second
	maxSendPause          = 10 * time.Minute
	defaultSendPause      = 30 * time.Second
	// defaultHeaderFields is more than a header of the users' 16,384 bytes has, since a
	// line has three bytes at least.
	defaultHeaderFields = 5462
	minHeaderFields     = 16
	maxHeaderFields     = 1 << 16
	maxRatio            = 1.0 // retries per request
	maxExtraRetries     = 100_000
	minQuotaWindow      = time.Second
	maxQuotaWindow      = time.Minute
	maxQuotaSlack       = 100_000 // requests
	maxRevokeWithin     = time.Hour
)

// Values of the setting Adapter.
const (
	adapterNone     = "None"
	adapterPlatform = "Platform"
)

// maxFileSize bounds the size of a settings file.
const maxFileSize = lavenderridge.Mebibyte

// Settings is the decoded content of a settings file.
type Settings struct {
	Daemon assembly.Config
	Log    Log
	// Adapter names the platform whose protocols the daemon uses.
	Adapter string

	// ephemeral is true if the daemon creates its own keys at each start instead of
	// loading key files. Such keys encrypt connections but prove no identity.
	ephemeral bool

	reader *reader
	// text is the content of the file from which the settings were read.
	text []byte
}

// Load reads and checks the settings file p and the key files that it names. If
// there are findings, the settings contain the values without faults; they are nil
// if the file could not be read or decoded.
func Load(p string) (*Settings, lavenderridge.Findings) {
	b, e := readFile(p)
	if e != nil {
		return nil, lavenderridge.Findings{{Place: p, Message: messageWithoutPath(e)}}
	}
	return load(p, b)
}

// readFile returns the content of the settings file p.
func readFile(p string) ([]byte, error) {
	i, e := os.Stat(p)
	if e != nil {
		return nil, e
	}
	if i.Size() > int64(maxFileSize) {
		return nil, fmt.Errorf("larger than %d bytes", maxFileSize)
	}
	return os.ReadFile(p)
}

// load checks the content b of the settings file p as Load does.
func load(p string, b []byte) (*Settings, lavenderridge.Findings) {
	s, f := Parse(p, b)
	if s == nil {
		return nil, f
	}
	s.checkKeys()
	return s, s.reader.sortedFindings()
}

// Parse decodes and checks the content b of the settings file p. It makes only
// the checks that need no other file and no socket.
func Parse(p string, b []byte) (*Settings, lavenderridge.Findings) {
	r, f := newReader(p, b)
	if r == nil {
		return nil, f
	}
	s := &Settings{reader: r, text: b}
	s.read(r)
	r.checkUnknown()
	return s, r.sortedFindings()
}

// read sets the fields of s from the values of r. It requests every setting that
// exists.
func (s *Settings) read(r *reader) {
	s.readIdentity(r)
	s.readAddresses(r)
	s.readLimits(r)
	s.readPlatform(r)
	s.readCustomers(r)
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
	r.checkDistinct("Caller.Address", "Peer.Address", "Backend.Address", "ConfigService.Address", "Operator.Address")
	if !r.boolean("Operator.AllowRemote", false) {
		r.checkLoopback("Operator.Address", d.Operator)
	}
}

func (s *Settings) readLimits(r *reader) {
	d := &s.Daemon
	d.Connections = lavenderridge.Connections(r.integer("Backend.Connections", defaultConnections, 1, maxConnections))
	d.MaxBody = r.size("Limits.MaxBody", defaultMaxBody, lavenderridge.Kibibyte, maxMaxBody)
	s.readStop(r)
	s.readDoors(r)
	d.FleetSize = r.integer("ConfigService.FleetSize", defaultFleetSize, 1, maxFleetSize)
	d.Decisions = r.integer("Operator.Decisions", defaultDecisions, 1, maxDecisions)
}

// readDoors reads the limits of what clients make the daemon hold.
func (s *Settings) readDoors(r *reader) {
	d := &s.Daemon
	n := func(k string, v, a int) lavenderridge.Connections {
		return lavenderridge.Connections(r.integer("Limits."+k, v, a, maxDescriptors))
	}
	d.Descriptors = n("Descriptors", openFileLimit(), minDescriptors)
	d.CallerConnections = n("CallerConnections", 0, minDoorConnections)
	d.PeerConnections = n("PeerConnections", 0, minDoorConnections)
	d.OperatorConnections = n("OperatorConnections", 0, minDoorConnections)
	d.AddressConnections = n("AddressConnections", 0, 1)
	d.HeaderFields = r.integer("Limits.HeaderFields", defaultHeaderFields, minHeaderFields, maxHeaderFields)
	d.HeadMemory = r.size("Limits.HeadMemory", 0, minDoorMemory, maxBodyMemory)
	d.CallMemory = r.size("Limits.CallMemory", 0, minDoorMemory, maxBodyMemory)
	d.SendPause = r.duration("Limits.SendPause", defaultSendPause, minSendPause, maxSendPause)
}

// openFileLimit returns the number of descriptors that the process may have, or zero if
// that isn't known.
func openFileLimit() int {
	var l syscall.Rlimit
	if e := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); e != nil {
		return 0
	}
	return int(min(l.Cur, maxDescriptors))
}

// readStop reads the times of a planned stop. Their defaults follow from the grace time
// if there is one, and must fit into it otherwise.
func (s *Settings) readStop(r *reader) {
	p := operator.StopPlan{Timeout: defaultStopTimeout}
	g := r.duration("Limits.StopGrace", 0, minGrace, maxGrace)
	if g > 0 {
		p = operator.NewStopPlan(g)
	}
	p.Timeout = r.duration("Limits.StopTimeout", p.Timeout, minStopTimeout, maxStopTimeout)
	p.Delay = r.duration("Limits.StopDelay", p.Delay, 0, maxStopDelay)
	if g > 0 && !p.Fits(g) {
		r.add("Limits.StopGrace", "%s is less than StopDelay (%s) and StopTimeout (%s) together", g, p.Delay, p.Timeout)
	}
	s.Daemon.StopDelay, s.Daemon.StopTimeout = p.Delay, p.Timeout
}

// readPlatform reads the settings that the users' platform requires.
func (s *Settings) readPlatform(r *reader) {
	d := &s.Daemon
	s.Adapter = r.choice("Adapter", adapterNone, adapterNone, adapterPlatform)
	d.Regions = make(map[lavenderridge.DataCentreID]lavenderridge.RegionID)
	for k, v := range r.table("Regions") {
		d.Regions[lavenderridge.DataCentreID(k)] = lavenderridge.RegionID(v)
	}
	w := configservice.DefaultApplyWithin
	if s.UsesPlatform() {
		w = platformApplyWithin
	}
	d.ApplyWithin = r.duration("ConfigService.ApplyWithin", w, minApplyWithin, maxApplyWithin)
	d.Metrics = r.optionalAddress("Operator.Metrics")
	d.LinkRate = lavenderridge.BitRate(r.number("Limits.LinkMegabits", 0, maxLinkMegabits) * bitsPerMegabit)
	d.Memory = lavenderridge.ByteCount(r.number("Limits.MemoryMegabytes", 0, maxMemoryMegabytes) * bytesPerMegabyte)
	s.readBodyMemory(r)
	d.ColdFactor = r.number("Backend.ColdFactor", defaultColdFactor, maxColdFactor)
	d.ColdSlack = r.number("Backend.ColdSlack", defaultColdSlack, maxColdSlack)
	d.RetryRatio = lavenderridge.Ratio(r.number("Retries.Ratio", 0, maxRatio))
	d.RetryExtra = r.integer("Retries.Extra", 0, 0, maxExtraRetries)
	s.readQuota(r)
}

// readQuota reads by how much the customers may exceed their quotas.
func (s *Settings) readQuota(r *reader) {
	s.Daemon.Quota = peer.QuotaBounds{
		Window:  r.duration("Customers.QuotaWindow", peer.DefaultQuotaWindow, minQuotaWindow, maxQuotaWindow),
		Overage: lavenderridge.Ratio(r.number("Customers.QuotaOverage", peer.DefaultQuotaOverage, maxRatio)),
		Slack:   lavenderridge.Requests(r.integer("Customers.QuotaSlack", int(peer.DefaultQuotaSlack), 0, maxQuotaSlack)),
	}
}

// readCustomers reads the settings that concern customers and their keys.
func (s *Settings) readCustomers(r *reader) {
	s.Daemon.RevokeWithin = r.duration("Customers.RevokeWithin", 0, configservice.MinRevokeWithin, maxRevokeWithin)
}

// readBodyMemory reads the memory for bodies. Its default is a share of the daemon's; a
// value that is set must have room for the largest body.
func (s *Settings) readBodyMemory(r *reader) {
	const k = "Limits.BodyMemory"
	d := &s.Daemon
	d.BodyMemory = lavenderridge.ByteCount(float64(d.Memory) * bodyMemoryShare)
	n := r.size(k, 0, lavenderridge.Mebibyte, maxBodyMemory)
	if n == 0 {
		return
	}
	d.BodyMemory = n
	if m := operator.NewBodyBudget(n).LargestRequest(d.MaxBody); m < d.MaxBody {
		r.add(k, "%q has room for a body of %q, which is less than Limits.MaxBody", formatSize(n), formatSize(m))
	}
	if d.Memory > 0 && n > d.Memory {
		r.add(k, "%q is more than Limits.MemoryMegabytes", formatSize(n))
	}
}

func (s *Settings) readKeys(r *reader) {
	if s.ephemeral = r.boolean("Keys.Ephemeral", false); s.ephemeral {
		return
	}
	s.Daemon.KeyFiles = peertls.Files{
		Authority:   r.path("Keys.Authority"),
		Certificate: r.path("Keys.Certificate"),
		Key:         r.path("Keys.Key"),
	}
	s.Daemon.KeyReloadInterval = r.duration("Keys.ReloadInterval", defaultReloadInterval, minReloadInterval, maxReloadInterval)
}

// checkKeys loads the key files and adds a finding for each fault in them.
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

// CheckPorts returns a finding for each of the daemon's addresses for callers,
// operators and peers on which it cannot listen, for example because the port is
// in use.
func (s *Settings) CheckPorts() lavenderridge.Findings {
	r := s.reader.withoutFindings()
	r.checkFree("Caller.Address", s.Daemon.Caller)
	r.checkFree("Operator.Address", s.Daemon.Operator)
	r.checkFree("Peer.Address", s.Daemon.Peer)
	return r.sortedFindings()
}

// OperatorIsLoopback reports whether the operator address can be reached only
// from this machine.
func (s *Settings) OperatorIsLoopback() bool {
	return isLoopback(s.Daemon.Operator)
}

// LoadKeys loads the key files, or creates ephemeral keys if the settings require
// them.
func (s *Settings) LoadKeys() (*peertls.Keys, error) {
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

// messageWithoutPath returns the message of e without the file path, which the
// finding's place already contains.
func messageWithoutPath(e error) string {
	var p *os.PathError
	if errors.As(e, &p) {
		return p.Err.Error()
	}
	return e.Error()
}

// resolvePath returns the path p, resolved relative to the directory of the file
// f.
func resolvePath(f, p string) string {
	if p == "" || filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(filepath.Dir(f), p)
}

// UsesPlatform reports whether the setting Adapter selects the users' platform.
func (s *Settings) UsesPlatform() bool {
	return s.Adapter == adapterPlatform
}

// KeyPaths returns the key path of every setting, sorted.
func KeyPaths() []string {
	r, _ := newReader("", nil)
	s := &Settings{reader: r}
	s.read(r)
	return slices.Sorted(maps.Keys(r.used))
}
