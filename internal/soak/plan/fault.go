package plan

// A Fault is a kind of disturbance.
type Fault string

// The faults. Those of links concern one daemon's way to the others, to its
// backend server or to the source.
const (
	Stop    Fault = "Stop"    // SIGTERM, and a new start
	Kill    Fault = "Kill"    // SIGKILL, and a new start
	Pause   Fault = "Pause"   // SIGSTOP, and SIGCONT
	Reload  Fault = "Reload"  // SIGHUP
	Crash   Fault = "Crash"   // the backend server crashes and starts again
	Silence Fault = "Silence" // open connections fall silent for good
	Reset   Fault = "Reset"   // open connections are reset
	Cut     Fault = "Cut"     // nothing passes
	OneWay  Fault = "OneWay"  // nothing passes in one direction
	Delay   Fault = "Delay"   // all that passes is held up
	Outage  Fault = "Outage"  // the source answers nobody
	Change  Fault = "Change"  // a new catalogue
	Away    Fault = "Away"    // a data centre is out of service
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{Stop, Kill, Pause, Reload, Crash, Silence, Reset, Cut, OneWay, Delay, Outage, Change, Away}
}
