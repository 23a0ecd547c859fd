// Package peer connects the controllers to one another. Each controller keeps an HTTP/2 stream
// open to every other one. On it, it announces which workers it can reach and how old its view of
// the store is, and forwards the evidence of heartbeats. Safety depends on nothing that travels
// here.
package peer
