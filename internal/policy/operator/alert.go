package operator

// An Alert is the urgency of a burn rate.
type Alert uint8

// The alerts, least urgent first.
const (
	AlertNone Alert = iota
	// AlertTicket requires work within days.
	AlertTicket
	// AlertPage requires a person immediately.
	AlertPage
)

// alertRules holds the multi-window rules, most urgent first: the burn rate must
// be above rate in the long window and in the short window. The short window
// makes the alert end soon after the fault does.
var alertRules = []struct {
	long  Window
	short Window
	rate  float64
	alert Alert
}{
	{Window1h, Window5m, 14.4, AlertPage},
	{Window6h, Window30m, 6, AlertPage},
	{Window6h, Window30m, 1, AlertTicket},
}

// AlertOf returns the most urgent alert for the burn rates b of the windows.
func AlertOf(b [windowCount]float64) Alert {
	for _, r := range alertRules {
		if b[r.long] > r.rate && b[r.short] > r.rate {
			return r.alert
		}
	}
	return AlertNone
}

// String returns the name that reports use.
func (a Alert) String() string {
	return [...]string{"None", "Ticket", "Page"}[a]
}

// MarshalText returns the name that reports use.
func (a Alert) MarshalText() ([]byte, error) {
	return []byte(a.String()), nil
}
