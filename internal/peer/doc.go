// Package peer connects the controllers to one another. Each keeps an HTTP/2 stream open to
// every other one and tells on it which workers it hears and how fresh its view of the store
// is. Safety depends on nothing that travels here.
package peer
