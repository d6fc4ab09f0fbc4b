package peer

import (
	"crypto/sha256"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeMembership holds the listed and the eligible instances of one service
// under one snapshot, from which the home of each key follows. It is immutable.
type HomeMembership struct {
	service  lavenderridge.ServiceID
	versions lavenderridge.Versions
	digest   lavenderridge.Digest
	listed   []lavenderridge.InstanceID
	eligible []lavenderridge.InstanceID
}

// NewHomeMembership returns the membership of the service d under the snapshot s. It
// follows from the accepted list, so that it is the same at all daemons.
func NewHomeMembership(s *lavenderridge.Snapshot, d lavenderridge.ServiceID) *HomeMembership {
	s = s.Accepted()
	m := &HomeMembership{service: d, versions: s.Versions()}
	for _, n := range s.Instances(d) {
		m.listed = append(m.listed, n.ID)
		if s.Eligible(n) {
			m.eligible = append(m.eligible, n.ID)
		}
	}
	m.digest = m.contentDigest()
	return m
}

// contentDigest returns the digest of the listed and the eligible instances
// without the versions, so that a new version that does not change the service
// needs no new acknowledgements.
func (m *HomeMembership) contentDigest() lavenderridge.Digest {
	h := sha256.New()
	for _, l := range [][]lavenderridge.InstanceID{m.listed, m.eligible} {
		for _, n := range l {
			h.Write([]byte(n))
			h.Write([]byte{0})
		}
		h.Write([]byte{1})
	}
	return lavenderridge.Digest(h.Sum(nil))
}

// Versions returns the versions of the snapshot.
func (m *HomeMembership) Versions() lavenderridge.Versions {
	return m.versions
}

// Digest returns the digest of the listed and the eligible instances.
func (m *HomeMembership) Digest() lavenderridge.Digest {
	return m.digest
}

// Listed returns the listed instances of the service. The caller must not
// change the slice.
func (m *HomeMembership) Listed() []lavenderridge.InstanceID {
	return m.listed
}

// Contains reports whether the instance n is listed.
func (m *HomeMembership) Contains(n lavenderridge.InstanceID) bool {
	return slices.Contains(m.listed, n)
}

// drops reports whether the later membership o lacks an instance of m.
func (m *HomeMembership) drops(o *HomeMembership) bool {
	return slices.ContainsFunc(m.listed, func(n lavenderridge.InstanceID) bool { return !o.Contains(n) })
}

// Home returns the home of the key k, or "" when no instance is eligible.
func (m *HomeMembership) Home(k lavenderridge.IdempotencyKey) lavenderridge.InstanceID {
	return m.HomeWithout(k, "")
}

// HomeWithout returns the home of the key k if the instance x is disregarded, or
// "" when no other instance is eligible.
func (m *HomeMembership) HomeWithout(k lavenderridge.IdempotencyKey, x lavenderridge.InstanceID) lavenderridge.InstanceID {
	var b lavenderridge.InstanceID
	var w uint64
	for _, n := range m.eligible {
		if n == x {
			continue
		}
		if h := score(k, n); b == "" || h > w {
			b, w = n, h
		}
	}
	return b
}
