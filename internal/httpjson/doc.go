// Package httpjson sends one JSON request over HTTP/1.1 and bounds the response.
package httpjson
