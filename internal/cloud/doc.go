// Package cloud provides a client of the cloud that provisions machines, and the catalog of its
// machine types. The client keeps to this controller's share of the cloud's request rate.
package cloud
