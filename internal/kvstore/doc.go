// Package kvstore provides a client of the consensus-backed key-value store. It limits its request
// rate and its write rate, and its errors tell whether a failed request may have been executed.
package kvstore
