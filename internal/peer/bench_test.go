package peer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lynxledge/internal/config"
	"lynxledge/wire"
)

// BenchmarkPeerHeartbeat measures encoding, decoding and handling one heartbeat of a controller. It
// announces the machines that were reachable within a third of the workers' heartbeat interval.
func BenchmarkPeerHeartbeat(b *testing.B) {
	const controllers = 7
	for _, machines := range []int{250, 1830, 4000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			received := 0
			transport := &Transport{
				peers:    newTable([]config.Peer{{Name: "n1"}}, time.Second),
				handlers: Handlers{Reachable: func(_ string, machines []wire.MachineID) { received += len(machines) }},
			}
			sent := PeerHeartbeat{Member: "n1", ViewAgeMillis: 900}
			for i := range machines / controllers / 3 {
				sent.Reachable = append(sent.Reachable, wire.MachineID(fmt.Sprintf("i-%06d", i)))
			}
			b.ReportAllocs()
			for b.Loop() {
				var stream bytes.Buffer
				if err := json.NewEncoder(&stream).Encode(sent); err != nil {
					b.Fatal(err)
				}
				var heartbeat PeerHeartbeat
				if err := json.NewDecoder(&stream).Decode(&heartbeat); err != nil {
					b.Fatal(err)
				}
				transport.handleHeartbeat(heartbeat)
			}
			if received == 0 {
				b.Fatal("no machine received")
			}
		})
	}
}
