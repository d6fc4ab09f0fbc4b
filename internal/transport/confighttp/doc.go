// Package confighttp reads and watches the platform's configuration service
// over HTTP.
//
// GET /v1/documents/{name}?after=VERSION&wait=DURATION returns 200 with the
// body of a newer version and its number in the X-Document-Version header, 304
// if no newer version was published during the wait, and 429 if the request
// rate exceeds the service's limit.
package confighttp
