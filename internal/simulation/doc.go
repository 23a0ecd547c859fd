// Package simulation is a deterministic simulation of the key-value store, the cloud, the
// workers, the users and the network between them. It checks the protocol's invariants while
// it runs, on whatever clock the test runs on.
package simulation
