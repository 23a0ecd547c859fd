// Package conventions holds no code, only tests of what all packages of the module and the pages
// in docs keep to: every package and every exported name has a doc comment, the architecture page
// names what exists, packages import lower layers only, and log lines have one style and are on
// the operators' page.
package conventions
