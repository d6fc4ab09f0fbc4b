package lavenderridge

// A Reason identifies why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNoRoute        Reason = "NoRoute"
	ReasonNoTarget       Reason = "NoTarget"
	ReasonNotReady       Reason = "NotReady"
	ReasonWrongTarget    Reason = "WrongTarget"
	ReasonStopping       Reason = "Stopping"
	ReasonLeaving        Reason = "Leaving"
	ReasonOutOfService   Reason = "OutOfService"
	ReasonOverloaded     Reason = "Overloaded"
	ReasonLimit          Reason = "Limit"
	ReasonDeadline       Reason = "Deadline"
	ReasonCancelled      Reason = "Cancelled"
	ReasonUnreachable    Reason = "Unreachable"
	ReasonConnectionLost Reason = "ConnectionLost"
	ReasonBadResponse    Reason = "BadResponse"
	ReasonQuarantined    Reason = "Quarantined"
	ReasonSuspectBusy    Reason = "SuspectBusy"
	ReasonCrashed        Reason = "Crashed"
	ReasonBadKey         Reason = "BadKey"
	ReasonKeyExpired     Reason = "KeyExpired"
	ReasonKeyInUse       Reason = "KeyInUse"
	ReasonNotHome        Reason = "NotHome"
	ReasonNotActive      Reason = "NotActive"
	ReasonLostMemory     Reason = "LostMemory"
	ReasonLedgerFull     Reason = "LedgerFull"
	ReasonTooLarge       Reason = "TooLarge"
	ReasonTooDeep        Reason = "TooDeep"
	ReasonBadRequest     Reason = "BadRequest"
	ReasonInternal       Reason = "Internal"
)
