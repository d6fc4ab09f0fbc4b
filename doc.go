// Package lavenderridge holds the types, interfaces and errors that every part
// of the configuration distribution system shares.
//
// One program runs: a daemon beside each backend server instance. Each daemon
// applies the operators' catalogue, routes callers' requests according to it and
// alone controls access to its own backend server. Implementations of the
// interfaces here are in packages below internal, except for the Adapter of the
// users' platform in the package platform. Decisions are in internal/policy, which
// uses no codec, socket or wall clock.
//
// Terms that many types use: a request's entry is the route of the catalogue
// that matches it. A keyed request is a request with an idempotency key. The home
// of such a key is the eligible instance of the service, chosen by rendezvous
// hashing, whose daemon may run a request with that key; its ledger records these
// requests. The membership of a service is the list of its instances together with
// which of them may be homes. A backend server is cold for some time after its
// start. A suspect is a request that was in flight when a backend server crashed.
package lavenderridge
