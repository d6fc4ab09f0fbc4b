package settings_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/lavenderridge/lavenderridge/internal/cmd/settings"
)

const complete = `Instance = "roster-1"
DataCentre = "fukuoka"
Service = "roster"
Caller.Address = "127.0.0.1:7100"
Peer = { Address = "127.0.0.1:7200" }
Backend.Address = "127.0.0.1:7400"
[ConfigService]
Address = "127.0.0.1:7500"
[Keys]
Authority = "a.pem"
Certificate = "c.pem"
Key = "k.pem"
`

// TestQuotaBounds checks the bounds of quotas: their defaults, what a file sets, and what
// it may not set.
func TestQuotaBounds(t *testing.T) {
	for s, w := range map[string]string{
		"":                                     "{5s 0.25 20}",
		"QuotaWindow = \"2s\"\nQuotaSlack = 0": "{2s 0.25 0}",
		"QuotaOverage = 0.5":                   "{5s 0.5 20}",
		"QuotaWindow = \"10ms\"":               "from \"1s\" to \"1m0s\"",
		"QuotaOverage = 1.5":                   "from 0 to 1",
		"QuotaSlack = -1":                      "from 0 to 100000",
		"Quota = 1":                            "Customers.Quota",
	} {
		v, a := settings.Parse("f.toml", []byte(complete+"[Customers]\n"+s+"\n"))
		g := fmt.Sprint(v.Daemon.Quota)
		if len(a) > 0 {
			g = fmt.Sprint(a)
		}
		if !strings.Contains(g, w) {
			t.Errorf("%q gives %s; want %s", s, g, w)
		}
	}
}

// FuzzParse checks that any input gives either settings with all required values
// or findings that all name the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(complete))
	f.Add([]byte(strings.ReplaceAll(complete, "127", "x")))
	f.Add([]byte("[[Caller]]\nAddress = 1\n[Limits]\nMaxBody = \"1TiB\"\n[A.B]\n"))
	f.Add([]byte("Operator = { Address = \"[::]:1\", AllowRemote = 1 }\nA.B = [{C = 1}]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, a := settings.Parse("f.toml", b)
		for _, v := range a {
			if !strings.HasPrefix(v.Place, "f.toml") || v.Message == "" {
				t.Errorf("finding %q without a place in the file or without a message", v)
			}
		}
		if len(a) > 0 {
			return
		}
		d := s.Daemon
		if d.Instance == "" || d.MaxBody <= 0 || d.StopTimeout <= 0 || d.Decisions <= 0 {
			t.Errorf("required value missing in settings without findings: %+v", d)
		}
		if _, e := netip.ParseAddrPort(string(d.Caller)); e != nil {
			t.Error(e)
		}
	})
}

// TestRevokeWithin guards against a time within which daemons can't keep their catalogues
// fresh, so that they would refuse requests in calm.
func TestRevokeWithin(t *testing.T) {
	for v, o := range map[string]bool{"5000ms": true, "2s": true, "1999ms": false, "0s": false, "2h": false, "five": false} {
		_, a := settings.Parse("f.toml", []byte(complete+"[Customers]\nRevokeWithin = \""+v+"\"\n"))
		if (len(a) == 0) != o {
			t.Errorf("%s: findings %v", v, a)
		}
		for _, f := range a {
			if !strings.Contains(f.Message, `"2s"`) {
				t.Errorf("%s: %s; want the bounds", v, f)
			}
		}
	}
	// The platform's template leaves the table empty if nothing bounds revocations.
	if s, a := settings.Parse("f.toml", []byte(complete+"[Customers]\n")); len(a) > 0 || s.Daemon.RevokeWithin != 0 {
		t.Errorf("empty table: %v", a)
	}
}
