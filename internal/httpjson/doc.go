// Package httpjson provides HTTP clients for JSON services: calls over HTTP/1.1 with a timeout and
// a limited response size, and a client that limits its request rate.
package httpjson
