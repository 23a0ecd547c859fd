package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags that init sets
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20260921", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
