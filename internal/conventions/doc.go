// Package conventions has tests that keep the sources and the pages in docs in step: names on
// the architecture page exist, log lines are explained, exported names have doc comments.
package conventions
