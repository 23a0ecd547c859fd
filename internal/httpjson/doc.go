// Package httpjson is what the clients of JSON services share: requests and responses over
// HTTP/1.1 whose size and time are bounded, and a client that keeps to a rate.
package httpjson
