//go:build review

package review_test

import "encoding/json"

// route is a route of a configuration.
type route struct {
	Name       string `json:"name"`
	PathPrefix string `json:"pathPrefix"`
	Kind       string `json:"routeType"`
	Timeout    string `json:"timeout"`
	Aim        string `json:"aim"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
}

// configuration is a version of the operator's configuration. All its routes have the
// host callersHost.
type configuration struct {
	version  string
	services []string
	routes   []route
}

const callersHost = "hulo84.example"

// configure writes the configuration g to the store, which acknowledges it.
func (d *deployment) configure(g configuration) {
	var s []map[string]any
	for _, v := range g.services {
		s = append(s, map[string]any{"name": v, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 15.0})
	}
	b, _ := json.Marshal(map[string]any{
		"version": g.version, "services": s,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"virtualHosts": []map[string]any{{"host": callersHost, "paths": g.routes}},
	})
	d.store.put("op/config", b)
	d.record.line("acknowledged configuration %s", g.version)
}
