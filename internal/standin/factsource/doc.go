// Package factsource holds a stand-in for a platform's store of facts.
package factsource
