package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"lynxledge/internal/cloud"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// CloudHandler answers one controller as the cloud does.
func CloudHandler(conn *simulation.CloudConn) http.Handler {
	r := chi.NewRouter()
	r.Get("/machine_types", func(w http.ResponseWriter, r *http.Request) {
		types, err := conn.MachineTypes(r.Context())
		respond(w, wire.MachineTypeList{Types: types}, err)
	})
	r.Post("/hosts", func(w http.ResponseWriter, r *http.Request) {
		var request wire.ProvisionRequest
		if !decodeBody(w, r, &request) {
			return
		}
		names, err := conn.Provision(r.Context(), request)
		if errors.Is(err, cloud.ErrNoCapacity) {
			respondError(w, http.StatusServiceUnavailable, "no capacity")
			return
		}
		respond(w, wire.MachineNames{Names: names}, err)
	})
	r.Get("/hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := conn.List(r.Context())
		after := wire.MachineID(r.URL.Query().Get("after"))
		for len(hosts) > 0 && hosts[0].ID <= after {
			hosts = hosts[1:]
		}
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		page := wire.InstanceList{Instances: hosts[:min(most, len(hosts))], More: len(hosts) > most}
		respond(w, page, err)
	})
	r.Post("/hosts/delete", func(w http.ResponseWriter, r *http.Request) {
		var machines wire.MachineNames
		if !decodeBody(w, r, &machines) {
			return
		}
		respond(w, struct{}{}, conn.Delete(r.Context(), machines.Names))
	})
	return r
}

// workerPort is that of every worker, each on a loopback address of its own.
const workerPort = "19000"

// Subnet is the range of loopback addresses of one cluster's machines.
type Subnet struct {
	second, third int
}

// subnets counts those of this process.
var subnets atomic.Int32

// NewSubnet makes one that no other cluster of this process has, and hardly any of another
// that runs at the same time.
func NewSubnet() Subnet {
	return Subnet{second: 1 + os.Getpid()%maxOctet, third: 1 + int(subnets.Add(1))%maxOctet}
}

// maxOctet is how many values of a part of an address are used.
const maxOctet = 250

// Address is where a machine is reached. Machines are named i- and a number, and numbers
// that are in use at the same time don't lie far apart.
func (s Subnet) Address(machine wire.MachineID) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(string(machine), "i-"))
	return fmt.Sprintf("127.%d.%d.%d:%s", s.second, s.third, 1+n%maxOctet, workerPort)
}

// ServeWorker answers commands for a machine at an address until the context ends.
func ServeWorker(ctx context.Context, machine wire.MachineID, address string, conn *simulation.WorkerConn) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	name := string(machine) + ":9000" // as the simulation knows it
	r := chi.NewRouter()
	r.Post("/do", func(w http.ResponseWriter, r *http.Request) {
		var commands wire.CommandBatch
		if !decodeBody(w, r, &commands) {
			return
		}
		heartbeat, err := conn.SendCommands(r.Context(), name, commands)
		respond(w, heartbeat, err)
	})
	r.Get("/inspect", func(w http.ResponseWriter, r *http.Request) {
		heartbeat, err := conn.Inspect(r.Context(), name)
		respond(w, heartbeat, err)
	})
	serve(ctx, listener, r)
	return nil
}

// HeartbeatPoster sends heartbeats to a controller's client address.
func HeartbeatPoster(client *http.Client, address string) simulation.HeartbeatPoster {
	return func(ctx context.Context, heartbeat *wire.Heartbeat) (result wire.HeartbeatResponse, redirectTo string, ok bool) {
		body, err := json.Marshal(heartbeat)
		if err != nil {
			return result, "", false
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/hello", bytes.NewReader(body))
		if err != nil {
			return result, "", false
		}
		response, err := client.Do(request)
		if err != nil {
			return result, "", false
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return result, "", json.NewDecoder(response.Body).Decode(&result) == nil
		}
		var redirect wire.RedirectResponse
		_ = json.NewDecoder(response.Body).Decode(&redirect) // without a body it names nobody
		return result, redirect.RedirectTo, false
	}
}

// Serve answers with a handler on a free loopback address until the context ends.
func Serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serve(ctx, listener, handler)
	return listener.Addr().String(), nil
}
