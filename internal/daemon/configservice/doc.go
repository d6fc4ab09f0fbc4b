// Package configservice reads the catalogue and the instance list from the
// platform's configuration service and offers them to the daemon's store.
package configservice
