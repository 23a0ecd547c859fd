// Package rapidseed makes property tests draw the same inputs on every run; the flag
// -rapid.seed still overrides it. Tests import it for its effect.
package rapidseed
