// Package conventions contains only tests, of the conventions of the whole module and its pages in
// docs: every package and every exported name has a doc comment, the architecture page names only
// what exists, packages do not import higher layers, log lines have one style and are on the
// operators' page, and CI rejects bad entries in the list of known failures.
package conventions
