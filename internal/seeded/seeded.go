// Package seeded makes generated tests draw the same inputs on every run; the
// flag -rapid.seed still overrides it. Tests import it for its effect.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20260921", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
