package logjson

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// maxLine is the maximum length of a line in bytes. Daemons usually write less
// than 1 KiB; lines with the findings of a whole document can be longer.
const maxLine = int(lavenderridge.Mebibyte)

// fields contains the JSON fields of a log line that are copied into fields of
// lavenderridge.LogLine other than Detail.
type fields struct {
	Time         time.Time
	Event        string
	Subject      string
	Request      string
	Instance     lavenderridge.InstanceID
	Place        lavenderridge.InstanceID
	Target       lavenderridge.InstanceID
	Catalogue    lavenderridge.Version
	InstanceList lavenderridge.Version
}

// Read returns the lines of one daemon's log and the number of lines that it
// could not parse. It skips text before the JSON object of a line, such as the
// timestamp of a log collector. It returns an error if reading from r fails or a
// line is longer than maxLine.
func Read(r io.Reader) ([]lavenderridge.LogLine, int, error) {
	var a []lavenderridge.LogLine
	var n lavenderridge.InstanceID
	k := 0
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			k++
			continue
		}
		l, o := parse(s.Bytes()[i:])
		if !o {
			k++
			continue
		}
		if l.Instance != "" {
			n = l.Instance
		}
		l.Instance = n
		a = append(a, l)
	}
	if e := s.Err(); e != nil {
		return nil, 0, fmt.Errorf("logjson: %w", e)
	}
	// Lines before the first one with an instance belong to the same daemon.
	for i := range a {
		if a[i].Instance == "" {
			a[i].Instance = n
		}
	}
	return a, k, nil
}

// parse parses the JSON object b. It reports false if b is invalid or has no
// Event.
func parse(b []byte) (lavenderridge.LogLine, bool) {
	var v fields
	m := map[string]any{}
	if json.Unmarshal(b, &v) != nil || json.Unmarshal(b, &m) != nil || v.Event == "" {
		return lavenderridge.LogLine{}, false
	}
	for _, k := range []string{"Time", "Level", "Event", "Subject", "Request", "Instance", "Catalogue", "InstanceList"} {
		delete(m, k)
	}
	var d []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		d = append(d, fmt.Sprintf("%s=%v", k, m[k]))
	}
	return lavenderridge.LogLine{
		Time: v.Time, Instance: v.Instance, Event: v.Event, Subject: v.Subject + v.Request, Place: v.Place, Target: v.Target,
		Versions: lavenderridge.Versions{Catalogue: v.Catalogue, InstanceList: v.InstanceList},
		Detail:   strings.Join(d, " "),
	}, true
}
