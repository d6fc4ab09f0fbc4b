package lavenderridge

// An Address is an IP address with a port, such as "127.0.0.1:7100".
type Address string
