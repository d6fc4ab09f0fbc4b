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
	m := (max(p.Age, 0) + time.Millisecond - 1).Milliseconds()
	return strconv.FormatUint(uint64(p.Version), 10) + " " + strconv.FormatInt(m, 10)
}

// decodeProof returns the proof in the text s of proofField. A text that is malformed
// states nothing.
func decodeProof(s string) lavenderridge.CatalogueProof {
	a, b, _ := strings.Cut(s, " ")
	v, e := strconv.ParseUint(a, 10, 64)
	m, x := strconv.ParseUint(b, 10, 64)
	if e != nil || x != nil || m > uint64(maxSourceAge.Milliseconds()) {
		return lavenderridge.CatalogueProof{}
	}
	return lavenderridge.CatalogueProof{Version: lavenderridge.Version(v), Age: time.Duration(m) * time.Millisecond}
}
