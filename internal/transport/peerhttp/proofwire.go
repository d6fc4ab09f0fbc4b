package peerhttp

import (
	"strconv"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// encodeProof returns the text of proofField for p, or "" if p states nothing.
func encodeProof(p lavenderridge.CatalogueProof) string {
	if p.Version == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(p.Version), 10) + " " + encodeAge(p.Age)
}

// encodeAge returns the text of the age d in milliseconds, rounded up.
func encodeAge(d time.Duration) string {
	return strconv.FormatInt((max(d, 0) + time.Millisecond - 1).Milliseconds(), 10)
}

// decodeAge returns the age in the text s. It reports false if the text is malformed.
func decodeAge(s string) (time.Duration, bool) {
	m, e := strconv.ParseUint(s, 10, 64)
	if e != nil || m > uint64(maxSourceAge.Milliseconds()) {
		return 0, false
	}
	return time.Duration(m) * time.Millisecond, true
}

// decodeProof returns the proof in the text s of proofField. A text that is malformed
// states nothing.
func decodeProof(s string) lavenderridge.CatalogueProof {
	a, b, _ := strings.Cut(s, " ")
	v, e := strconv.ParseUint(a, 10, 64)
	d, o := decodeAge(b)
	if e != nil || !o {
		return lavenderridge.CatalogueProof{}
	}
	return lavenderridge.CatalogueProof{Version: lavenderridge.Version(v), Age: d}
}

// encodeFollowing returns the text of followingField for f, or "" if f states nothing.
func encodeFollowing(f lavenderridge.Following) string {
	if f.By == "" {
		return ""
	}
	return encodeAge(f.Age) + " " + string(f.By)
}

// decodeFollowing returns what the text s of followingField states. A text that is
// malformed states nothing.
func decodeFollowing(s string) lavenderridge.Following {
	a, b, _ := strings.Cut(s, " ")
	d, o := decodeAge(a)
	if !o || b == "" {
		return lavenderridge.Following{}
	}
	return lavenderridge.Following{By: lavenderridge.InstanceID(b), Age: d}
}
