// Package simulation simulates the key-value store, the cloud, the workers and the network between
// them, the controllers and the users; seeds determine its random choices. While it runs, it checks
// what workers do and users are told against the protocol's invariants. It uses the test's clock:
// real time, or the simulated time of a synctest bubble.
package simulation
