package lavenderridge

import "time"

// A Tracker records the attempts of requests to estimate the load of each
// target. Its methods do not block.
type Tracker interface {
	// Begin records that an attempt of a request for the service d is sent to
	// the instance n at t. It returns what the backend server of n has announced, or
	// nil if that is neither a limit nor that it is leaving.
	Begin(d ServiceID, n InstanceID, t time.Time) *HeardNotice
	// Noticed records at t what the backend server of n has announced, if it is still
	// the same run.
	Noticed(d ServiceID, n InstanceID, h HeardNotice, t time.Time)
	// Limited records that the limit of the run b of the backend server of n leaves no
	// room for requests of the class k and below until t.
	Limited(d ServiceID, n InstanceID, b BackendID, k Class, t time.Time)
	// Answered records that the instance i of the service d responded with the
	// status c to a request of the entry e, and that the request and its response
	// had n bytes in total.
	Answered(d ServiceID, i InstanceID, e EntryID, c int, n ByteCount)
	// End records that the attempt ended at t. The load l is the load that the
	// target reported; f is nil if the target returned a response.
	End(d ServiceID, n InstanceID, l Load, f *Refusal, t time.Time)
}
