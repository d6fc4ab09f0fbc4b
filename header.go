package lavenderridge

// A Header holds the HTTP header fields of a request or a response.
type Header map[string][]string

// Get returns the first value of the field k, or "" if there is none. The name k
// must be in canonical form.
func (h Header) Get(k string) string {
	if v := h[k]; len(v) > 0 {
		return v[0]
	}
	return ""
}
