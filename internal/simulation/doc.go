// Package simulation simulates the key-value store, the cloud, the workers and the network between
// them, the controllers and the users; seeds determine its random choices. It checks the protocol's
// invariants while it runs, by what workers do and users are told, on whatever clock the test runs.
package simulation
