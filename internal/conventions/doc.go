// Package conventions holds no code, only tests of what all packages of the module keep to:
// every package and every exported name has a doc comment.
package conventions
