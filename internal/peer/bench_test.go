package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// BenchmarkHeartbeat is one heartbeat on its way to another controller: what it takes to
// write, read and take it over. It names the machines heard in a third of a report.
func BenchmarkHeartbeat(b *testing.B) {
	const controllers = 7
	for _, machines := range []int{250, 1830, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			m := &Transport{peers: map[string]*peerState{"n1": {Peer: config.Peer{Name: "n1"}}}}
			taken := 0
			receive := func(heard []wire.MachineID) { taken += len(heard) }
			m.onReachable.Store(&receive)
			beat := PeerHeartbeat{Member: "n1", ViewAgeMillis: 900}
			for i := range machines / controllers / 3 {
				beat.Reachable = append(beat.Reachable, wire.MachineID(fmt.Sprintf("i-%06d", i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				var stream bytes.Buffer
				if err := json.NewEncoder(&stream).Encode(beat); err != nil {
					b.Fatal(err)
				}
				var got PeerHeartbeat
				if err := json.NewDecoder(&stream).Decode(&got); err != nil {
					b.Fatal(err)
				}
				m.handleHeartbeat(got)
			}
			if taken == 0 {
				b.Fatal("nothing was heard")
			}
		})
	}
}
