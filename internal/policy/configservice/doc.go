// Package configservice decides which versions of the catalogue and of the
// instance list a daemon accepts, when it reads them from their source, and
// whether its versions are recent enough to handle requests.
package configservice
