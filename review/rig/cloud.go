package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"fieldhill/wire"
)

// pool is a machine type in a zone, as ordinary or as cheap machines.
type pool struct {
	typ, zone string
	spot      bool
}

// cloudLatency is how long the cloud takes to answer.
const cloudLatency = 80 * time.Millisecond

// serveCloud serves the cloud's interface on a listener until the context ends.
func (p *platform) serveCloud(ctx context.Context, listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathMachineTypes, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(cloudLatency)
		answer(w, http.StatusOK, &wire.MachineTypes{Types: p.types})
	})
	mux.HandleFunc("GET "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudLatency)
		answer(w, http.StatusOK, p.list(r.URL.Query().Get("after")))
	})
	mux.HandleFunc("POST "+wire.PathMachines, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudLatency)
		body, _ := io.ReadAll(r.Body) // a body that ends early can't be decoded
		var request wire.ScaleOutRequest
		if wire.Unmarshal(body, &request) != nil {
			answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
			return
		}
		names := p.hire(ctx, &request)
		p.record.add("cloud: hire %s of %d %s in %s, cheap %v: %v", request.IdempotencyKey, request.Count, request.Type,
			request.Zone, request.Spot, names)
		if len(names) == 0 {
			answer(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return
		}
		answer(w, http.StatusOK, &wire.MachineNames{Machines: names})
	})
	mux.HandleFunc("POST "+wire.PathRelease, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudLatency)
		body, _ := io.ReadAll(r.Body) // as above
		var names wire.MachineNames
		if wire.Unmarshal(body, &names) != nil {
			answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
			return
		}
		p.release(names.Machines)
		answer(w, http.StatusOK, map[string]any{})
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go p.refreshList(ctx)
}

// refreshList takes a new picture of the machines every list_lag_s.
func (p *platform) refreshList(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		p.listed = p.listed[:0:0]
		for _, m := range p.machines {
			if m.isGone() {
				continue
			}
			status := wire.MachineBooting
			if m.isUp() {
				status = wire.MachineRunning
			}
			p.listed = append(p.listed, wire.ListedMachine{
				Name: m.name, Addr: m.addr(), Type: m.typ.Name, Zone: m.zone, Spot: m.spot, State: status,
				AgeS: time.Since(m.hiredAt).Seconds(),
			})
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(p.params.Cloud.ListLagS * float64(time.Second))):
		}
	}
}

func (p *platform) list(after string) *wire.MachineList {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := &wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, m := range p.listed {
		if m.Name > after {
			page.Machines = append(page.Machines, m)
		}
	}
	return page
}

// hire rents as many of the requested machines as the pool has left.
func (p *platform) hire(ctx context.Context, request *wire.ScaleOutRequest) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if names := p.hires[request.IdempotencyKey]; names != nil {
		return names
	}
	rented := 0
	for _, m := range p.machines {
		if m.typ.Name == request.Type && m.zone == request.Zone && m.spot == request.Spot && !m.isGone() {
			rented++
		}
	}
	room := p.capacity(pool{request.Type, request.Zone, request.Spot}) - rented
	var names []string
	for range min(request.Count, room) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			break
		}
		ctx, stop := context.WithCancel(ctx)
		m := &machine{
			name: fmt.Sprintf("host-%06d", len(p.machines)+1), zone: request.Zone, spot: request.Spot,
			typ: p.typeOf(request.Type), hiredAt: time.Now(), platform: p, listener: listener, stop: stop,
			images: map[string]bool{},
		}
		p.machines = append(p.machines, m)
		names = append(names, m.name)
		go m.run(ctx, p.bootTime(m.typ))
	}
	if names != nil {
		p.hires[request.IdempotencyKey] = names
	}
	return names
}

// bootTime returns how long a machine boots: 0.6 to 0.9 times the usual time of its type, or the time of the plan.
func (p *platform) bootTime(typ *wire.MachineType) time.Duration {
	if p.boot > 0 {
		return p.boot
	}
	return time.Duration(typ.BootS * (0.6 + 0.3*rand.Float64()) * float64(time.Second))
}

func (p *platform) release(names []string) {
	for _, m := range p.allMachines() {
		for _, name := range names {
			if m.name == name && !m.isGone() {
				m.remove("returned by the controllers")
			}
		}
	}
}

func (p *platform) typeOf(name string) *wire.MachineType {
	for i := range p.types {
		if p.types[i].Name == name {
			return &p.types[i]
		}
	}
	return &wire.MachineType{Name: name}
}

func (m *machine) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && !m.gone
}

func (m *machine) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gone
}
