// Package confighttp reads and watches the platform's configuration service
// over HTTP.
//
// GET /v1/documents/{name}?after=VERSION&wait=DURATION answers 200 with the
// body of a newer version and its number in the X-Document-Version header,
// 304 when none came within the wait, and 429 above the service's rate.
package confighttp
