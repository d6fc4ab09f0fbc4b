package lavenderridge

// An Attempt counts the tries that one daemon makes for a request, from one.
type Attempt uint16
