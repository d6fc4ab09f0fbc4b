package configservice

// An OfferResult is the result of offering a version to a Store.
type OfferResult uint8

// The results of an offer.
const (
	// OfferAccepted means that the version has been accepted.
	OfferAccepted OfferResult = iota + 1
	// OfferSame means that the version is the accepted one already.
	OfferSame
	// OfferOlder means that a newer version has been accepted.
	OfferOlder
	// OfferConflict means that the version is the accepted one, but the
	// accepted document has a different digest.
	OfferConflict
	// OfferRejected means that the document is invalid, cannot be decoded or
	// does not have the announced digest.
	OfferRejected
)

// String returns the name of the event in the decisions and the log.
func (v OfferResult) String() string {
	switch v {
	case OfferAccepted:
		return "VersionAccepted"
	case OfferSame:
		return "VersionSame"
	case OfferOlder:
		return "VersionOlder"
	case OfferConflict:
		return "VersionConflict"
	default:
		return "VersionRejected"
	}
}
