package statecache

import "strings"

// affixes holds what the names, addresses and fencing tokens of a group's machines have in
// common. A record stores it once for all machines.
type affixes struct {
	Name      string `json:"name,omitempty"` // prefix
	Address   string `json:"addr,omitempty"` // prefix
	Port      string `json:"port,omitempty"` // suffix of the addresses
	TokenBase uint64 `json:"base,omitempty"` // tokens are stored as offsets from it
}

// commonAffixes returns the affixes of machines.
func commonAffixes(machines []*Machine) affixes {
	var a affixes
	hasAddress := false
	for i, m := range machines {
		if i == 0 {
			a.Name, a.TokenBase = string(m.Name), m.FencingToken
		}
		a.Name = commonPrefix(a.Name, string(m.Name))
		a.TokenBase = min(a.TokenBase, m.FencingToken)
		if m.Address != "" {
			a.addAddress(m.Address, !hasAddress)
			hasAddress = true
		}
	}
	a.TokenBase = a.TokenBase >> termShift << termShift // first token of the term; the lowest one would change with every write
	return a
}

// addAddress reduces the affixes to what an address has in common with the previous ones.
func (a *affixes) addAddress(address string, isFirst bool) {
	host, port, found := strings.Cut(address, ":")
	if found {
		port = ":" + port
	}
	if isFirst {
		a.Address, a.Port = host, port
		return
	}
	a.Address = commonPrefix(a.Address, host)
	if port != a.Port {
		a.Port = ""
	}
}

func commonPrefix(a, b string) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return b[:n]
}
