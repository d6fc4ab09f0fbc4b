package lavenderridge

// A Customer is an organisation that shares the services with others. Its requests are
// recognised by their keys.
type Customer struct {
	ID CustomerID
	// Keys are the keys that its requests may carry, sorted.
	Keys []CustomerKey
	// Class replaces the class of the entry for the customer's requests; zero leaves it.
	Class Class
	// Quota bounds the customer's requests at all daemons together.
	Quota Quota
}
