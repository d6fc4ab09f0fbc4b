package plan

// A Fault is a kind of injected fault.
type Fault string

// The faults. Silence, Reset, Cut, OneWay and Delay act on one Link of a daemon.
const (
	Stop    Fault = "Stop"    // SIGTERM, then restart
	Kill    Fault = "Kill"    // SIGKILL, restarted after the duration
	Pause   Fault = "Pause"   // SIGSTOP, then SIGCONT after the duration
	Reload  Fault = "Reload"  // SIGHUP
	Crash   Fault = "Crash"   // the backend server crashes and restarts after the duration
	Silence Fault = "Silence" // open connections become half-open for good
	Reset   Fault = "Reset"   // open connections are reset
	Cut     Fault = "Cut"     // no bytes pass in either direction
	OneWay  Fault = "OneWay"  // no bytes pass from the target
	Delay   Fault = "Delay"   // all bytes are delayed by the duration
	Outage  Fault = "Outage"  // the configuration service responds 503 to every call
	Change  Fault = "Change"  // a new catalogue is published
	Away    Fault = "Away"    // a data centre is published as out of service
)

// Faults returns all faults. NewPlan draws an index into this list, so its order
// must not change: recorded seeds would play other faults.
func Faults() []Fault {
	return []Fault{Stop, Kill, Pause, Reload, Crash, Silence, Reset, Cut, OneWay, Delay, Outage, Change, Away}
}
