package configservice

// A Verdict is the result of offering a version to a Store.
type Verdict uint8

// The results of an offer.
const (
	// VerdictAccepted means that the version has been accepted.
	VerdictAccepted Verdict = iota + 1
	// VerdictSame means that the version had been accepted before.
	VerdictSame
	// VerdictOlder means that a newer version has been accepted.
	VerdictOlder
	// VerdictConflict means that the version had been accepted with a different
	// digest.
	VerdictConflict
	// VerdictRejected means that the document is invalid, cannot be decoded or
	// does not have the announced digest.
	VerdictRejected
)

// String returns the name of the event in the decisions and the log.
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
