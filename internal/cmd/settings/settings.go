package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

const (
	defaultMaxBody     = lavenderridge.Mebibyte
	defaultStopTimeout = 30 * time.Second
	defaultConnections = 130
)

// Settings is the content of a settings file.
type Settings struct {
	Instance      string
	DataCentre    string
	Service       string
	ConfigService string
	Backend       string
	Caller        string
	Peer          string
	Operator      string
	FleetSize     int
	KeyFiles      keyFiles `toml:"Keys"`
}

type keyFiles struct {
	Authority   string
	Certificate string
	Key         string
}

// Load reads the settings file p.
func Load(p string) (*Settings, error) {
	b, e := os.ReadFile(p)
	if e != nil {
		return nil, fmt.Errorf("settings: %w", e)
	}
	v := &Settings{Operator: "127.0.0.1:7300"}
	if e := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(v); e != nil {
		return nil, fmt.Errorf("settings: %s: %w", p, e)
	}
	return v, nil
}

// Config returns the daemon's part of the settings.
func (s *Settings) Config() assembly.Config {
	return assembly.Config{
		Instance:      lavenderridge.InstanceID(s.Instance),
		DataCentre:    lavenderridge.DataCentreID(s.DataCentre),
		Service:       lavenderridge.ServiceID(s.Service),
		ConfigService: lavenderridge.Address(s.ConfigService),
		Backend:       lavenderridge.Address(s.Backend),
		Connections:   defaultConnections,
		Caller:        lavenderridge.Address(s.Caller),
		Peer:          lavenderridge.Address(s.Peer),
		Operator:      lavenderridge.Address(s.Operator),
		MaxBody:       defaultMaxBody,
		StopTimeout:   defaultStopTimeout,
		FleetSize:     s.FleetSize,
	}
}

// Keys loads the certificate files.
func (s *Settings) Keys() (*peertls.Keys, error) {
	c, e := tls.LoadX509KeyPair(s.KeyFiles.Certificate, s.KeyFiles.Key)
	if e != nil {
		return nil, fmt.Errorf("settings: keys: %w", e)
	}
	b, e := os.ReadFile(s.KeyFiles.Authority)
	if e != nil {
		return nil, fmt.Errorf("settings: keys: %w", e)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("settings: keys: no certificate in %s", s.KeyFiles.Authority)
	}
	return peertls.NewKeys(&c, p), nil
}
