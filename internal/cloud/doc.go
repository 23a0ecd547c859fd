// Package cloud is the client of the cloud that provisions machines, and the catalog of its
// machine types. It keeps to this controller's share of the cloud's rate.
package cloud
