package lavenderridge

import "time"

// A Tracker learns from the attempts of requests what each target bears. Its
// methods do not block.
type Tracker interface {
	// Begin tells that an attempt of a request of the service d goes to the
	// instance n.
	Begin(d ServiceID, n InstanceID)
	// Answered tells that a request of the entry e and its response had n bytes
	// together, and that the target i of the service d answered with the status
	// c.
	Answered(d ServiceID, i InstanceID, e EntryID, c int, n ByteCount)
	// End tells that the attempt is over. The load l is what the target said
	// that it bears; f is nil when it gave a response.
	End(d ServiceID, n InstanceID, l Load, f *Refusal, t time.Time)
}
