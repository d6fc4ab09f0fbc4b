package lavenderridge

// A Reason identifies why a request was refused.
type Reason string

// The reasons. Whether the request may have run is in the Outcome, not in the
// reason.
const (
	// ReasonNoRoute: no entry matches the request, or the catalogue has no such
	// service.
	ReasonNoRoute Reason = "NoRoute"
	// ReasonNoTarget: no instance of the service is eligible.
	ReasonNoTarget Reason = "NoTarget"
	// ReasonNotReady: the daemon has no accepted documents yet, is not listed, or has
	// just resumed after a pause.
	ReasonNotReady Reason = "NotReady"
	// ReasonWrongTarget: the request names another instance, service or backend server
	// run than the one that received it.
	ReasonWrongTarget Reason = "WrongTarget"
	// ReasonStopping: the daemon is shutting down.
	ReasonStopping Reason = "Stopping"
	// ReasonLeaving: the platform lists the instance as leaving.
	ReasonLeaving Reason = "Leaving"
	// ReasonOutOfService: the operators have the instance or its data centre out of
	// service.
	ReasonOutOfService Reason = "OutOfService"
	// ReasonOverloaded: a daemon or its backend server has no capacity for the
	// request, for example because the queue is full.
	ReasonOverloaded Reason = "Overloaded"
	// ReasonLimit: the entry has reached its limit of concurrency or rate, or the
	// daemon has reached its limit of connections to the backend server.
	ReasonLimit Reason = "Limit"
	// ReasonBackendLimit: the backend server gets no more requests now because of the
	// limit that it has named.
	ReasonBackendLimit Reason = "BackendLimit"
	// ReasonDeadline: the deadline passed, or no slot would be free before it.
	ReasonDeadline Reason = "Deadline"
	// ReasonCancelled: the caller no longer waits for the response.
	ReasonCancelled Reason = "Cancelled"
	// ReasonUnreachable: the request could not be sent to the target.
	ReasonUnreachable Reason = "Unreachable"
	// ReasonConnectionLost: the connection ended before the response arrived, or an
	// earlier home of the key handed over a record whose response is lost.
	ReasonConnectionLost Reason = "ConnectionLost"
	// ReasonBadResponse: the response is malformed or belongs to another request.
	ReasonBadResponse Reason = "BadResponse"
	// ReasonQuarantined: the request crashed a backend server and is quarantined.
	ReasonQuarantined Reason = "Quarantined"
	// ReasonSuspectBusy: the request is suspected of a crash and must run
	// exclusively, but another suspect is doing so or did so recently.
	ReasonSuspectBusy Reason = "SuspectBusy"
	// ReasonCrashed: the backend server crashed while it ran the request.
	ReasonCrashed Reason = "Crashed"
	// ReasonBadKey: the idempotency key is too long or was issued in the future.
	ReasonBadKey Reason = "BadKey"
	// ReasonKeyExpired: the idempotency key is older than its lifetime.
	ReasonKeyExpired Reason = "KeyExpired"
	// ReasonKeyInUse: the idempotency key belongs to another request.
	ReasonKeyInUse Reason = "KeyInUse"
	// ReasonNotHome: the daemon is not the home of the idempotency key.
	ReasonNotHome Reason = "NotHome"
	// ReasonNotActive: the home may not run the key yet: it is not active, is
	// fenced, or an earlier home still runs the request.
	ReasonNotActive Reason = "NotActive"
	// ReasonLostMemory: the key may have run before the home was active for it.
	ReasonLostMemory Reason = "LostMemory"
	// ReasonLedgerFull: the ledger is full of keys that have not expired. If the
	// outcome is Unknown, the request ran but its response could not be stored.
	ReasonLedgerFull Reason = "LedgerFull"
	// ReasonTooLarge: the request or its response exceeds the maximum size.
	ReasonTooLarge Reason = "TooLarge"
	// ReasonTooDeep: the request has passed through too many services.
	ReasonTooDeep Reason = "TooDeep"
	// ReasonBadRequest: the request is malformed.
	ReasonBadRequest Reason = "BadRequest"
	// ReasonUnauthenticated: the request carries no key or one that no customer holds.
	ReasonUnauthenticated Reason = "Unauthenticated"
	// ReasonQuota: the customer has reached its quota.
	ReasonQuota Reason = "Quota"
	// ReasonStaleCatalogue: the daemon can't tell whether the key of the request has been
	// taken away, because it has heard nothing of the source for too long.
	ReasonStaleCatalogue Reason = "StaleCatalogue"
	// ReasonInternal: an error without a reason of its own.
	ReasonInternal Reason = "Internal"
)
