// Package peer connects the controllers to one another. Each controller keeps an HTTP/2 stream open
// to every other one. On it, it announces which machines it has received heartbeats from and how
// old its view of the store is, and forwards evidence from heartbeats. Safety doesn't depend on any
// message of this package.
package peer
