// Package peer implements the calls between daemons: it disseminates versions of
// the configuration by gossip and moves the homes of keyed requests.
package peer
