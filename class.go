package lavenderridge

// A Class ranks requests for load shedding: under overload the lowest class is
// refused first. The zero value is not a valid class.
type Class uint8

// The classes, lowest first.
const (
	ClassBackground Class = iota + 1
	ClassNormal
	ClassUrgent
	ClassCritical
)

var classNames = map[Class]string{
	ClassBackground: "Background",
	ClassNormal:     "Normal",
	ClassUrgent:     "Urgent",
	ClassCritical:   "Critical",
}

// String returns the name of the class in catalogues, or "Unknown" for an invalid
// class.
func (c Class) String() string {
	if n, o := classNames[c]; o {
		return n
	}
	return "Unknown"
}

// ParseClass returns the class with the name n. It reports false when there is
// no such class.
func ParseClass(n string) (Class, bool) {
	for c, s := range classNames {
		if s == n {
			return c, true
		}
	}
	return 0, false
}
