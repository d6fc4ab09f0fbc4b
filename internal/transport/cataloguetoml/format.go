package cataloguetoml

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderridge/lavenderridge"
)

// Format returns c as TOML text in the published format.
func Format(c *lavenderridge.Catalogue) ([]byte, error) {
	var v file
	for _, d := range c.DataCentres {
		v.DataCentres = append(v.DataCentres, fileDataCentre{ID: string(d.ID), Region: string(d.Region), State: string(d.State)})
	}
	for _, n := range c.Instances {
		v.Instances = append(v.Instances, fileInstance{ID: string(n.ID), State: string(n.State)})
	}
	for _, s := range c.Services {
		v.Services = append(v.Services, fileService{
			ID: string(s.ID), Slots: int(s.Slots), Connections: int(s.Connections), Queue: int(s.Queue),
		})
	}
	for i := range c.Entries {
		v.Entries = append(v.Entries, newFileEntry(&c.Entries[i]))
	}
	for i := range c.Customers {
		v.Customers = append(v.Customers, newFileCustomer(&c.Customers[i]))
	}
	b, e := toml.Marshal(v)
	if e != nil {
		return nil, fmt.Errorf("cataloguetoml: %w", e)
	}
	return b, nil
}

func newFileEntry(v *lavenderridge.Entry) fileEntry {
	return fileEntry{
		ID: string(v.ID), Owner: string(v.Owner), Class: v.Class.String(), Service: string(v.Service),
		PathPrefix: v.PathPrefix, Methods: v.Methods, Idempotent: v.Idempotent, Timeout: formatDuration(v.Timeout),
		Limits: fileLimits{
			Concurrency: int(v.Limits.Concurrency), Rate: float64(v.Limits.Rate), Attempts: uint16(v.Limits.Attempts),
		},
		Public:    v.Public,
		Objective: fileObjective{Success: float64(v.Objective.Success), Latency: formatDuration(v.Objective.Latency)},
	}
}

func newFileCustomer(v *lavenderridge.Customer) fileCustomer {
	c := fileCustomer{ID: string(v.ID), Quota: fileQuota{Rate: float64(v.Quota.Rate), Burst: int64(v.Quota.Burst)}}
	if v.Class != 0 {
		c.Class = v.Class.String()
	}
	for _, k := range v.Keys {
		c.Keys = append(c.Keys, hex.EncodeToString(k[:]))
	}
	return c
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
