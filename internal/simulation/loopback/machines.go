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

// CloudHandler serves the HTTP API of the cloud to one controller.
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
		ids, err := conn.Provision(r.Context(), request)
		if errors.Is(err, cloud.ErrNoCapacity) {
			respondError(w, http.StatusServiceUnavailable, "no capacity")
			return
		}
		respond(w, wire.MachineNames{Names: ids}, err)
	})
	r.Get("/hosts", func(w http.ResponseWriter, r *http.Request) {
		instances, err := conn.List(r.Context())
		after := wire.MachineID(r.URL.Query().Get("after"))
		for len(instances) > 0 && instances[0].ID <= after {
			instances = instances[1:]
		}
		limit, _ := strconv.Atoi(r.URL.Query().Get("most"))
		page := wire.InstanceList{Instances: instances[:min(limit, len(instances))], More: len(instances) > limit}
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

// workerPort is the port of every worker; each worker has a loopback address of its own.
const workerPort = "19000"

// Subnet is the range of loopback addresses of one cluster's machines.
type Subnet struct {
	secondOctet, thirdOctet int
}

// subnets counts the subnets that this process has made.
var subnets atomic.Int32

// NewSubnet returns a subnet that no other cluster of this process uses, and that one of another
// process is unlikely to use: the second octet depends on the process ID.
func NewSubnet() Subnet {
	return Subnet{secondOctet: 1 + os.Getpid()%maxOctet, thirdOctet: 1 + int(subnets.Add(1))%maxOctet}
}

// maxOctet is the highest value that is used for an octet of an address; the lowest is 1.
const maxOctet = 250

// Address returns the address of a machine. Machine IDs are i- and a number; the last octet is
// unique because numbers that are in use at the same time differ by less than maxOctet.
func (s Subnet) Address(machine wire.MachineID) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(string(machine), "i-"))
	return fmt.Sprintf("127.%d.%d.%d:%s", s.secondOctet, s.thirdOctet, 1+n%maxOctet, workerPort)
}

// ServeWorker serves the HTTP API of a machine's worker at an address until the context ends.
func ServeWorker(ctx context.Context, machine wire.MachineID, address string, conn *simulation.WorkerConn) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	simulatedAddress := string(machine) + ":9000" // the worker's address in the simulated network
	r := chi.NewRouter()
	r.Post("/do", func(w http.ResponseWriter, r *http.Request) {
		var commands wire.CommandBatch
		if !decodeBody(w, r, &commands) {
			return
		}
		heartbeat, err := conn.SendCommands(r.Context(), simulatedAddress, commands)
		respond(w, heartbeat, err)
	})
	r.Get("/inspect", func(w http.ResponseWriter, r *http.Request) {
		heartbeat, err := conn.Inspect(r.Context(), simulatedAddress)
		respond(w, heartbeat, err)
	})
	serve(ctx, listener, r)
	return nil
}

// HeartbeatPoster returns a function that posts heartbeats to a controller's client address.
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
		_ = json.NewDecoder(response.Body).Decode(&redirect) // a response without a body redirects nowhere
		return result, redirect.RedirectTo, false
	}
}

// Serve serves a handler on a free loopback address, which it returns, until the context ends.
func Serve(ctx context.Context, handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serve(ctx, listener, handler)
	return listener.Addr().String(), nil
}
