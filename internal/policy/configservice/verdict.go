package configservice

// A Verdict tells what became of an offered version.
type Verdict uint8

// The verdicts.
const (
	// VerdictAccepted tells that the version is in force now.
	VerdictAccepted Verdict = iota + 1
	// VerdictSame tells that the version was in force already.
	VerdictSame
	// VerdictOlder tells that a newer version is in force.
	VerdictOlder
	// VerdictConflict tells that the version is in force with another digest.
	VerdictConflict
	// VerdictRejected tells that the version has faults.
	VerdictRejected
)

// String returns the name of the decision that operators see.
func (v Verdict) String() string {
	switch v {
	case VerdictAccepted:
		return "VersionAccepted"
	case VerdictSame:
		return "VersionSame"
	case VerdictOlder:
		return "VersionOlder"
	case VerdictConflict:
		return "VersionConflict"
	default:
		return "VersionRejected"
	}
}
