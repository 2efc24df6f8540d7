package tackstandin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// Platform reboots and upgrades the VMs of its backend servers and
	// workers, and forwards requests for tasks to the workers. Set the fields,
	// then call Start.
	Platform struct {
		// Reboot is the duration of a reboot or an upgrade.
		Reboot time.Duration

		mu      sync.Mutex
		vms     map[string]*platformVM
		workers map[string]*Worker
		address string
		server  *http.Server
		running sync.WaitGroup
	}

	platformVM struct {
		state     string
		operation string
		restarts  int
		processes []process
		failing   bool
	}

	// process is a process on a VM, which ends with the VM and restarts with it.
	process interface {
		Start() error
		Stop()
	}

	platformAnswer struct {
		VM        string `json:"vm"`
		State     string `json:"state"`
		Operation string `json:"operation"`
	}

	platformRequest struct {
		Operation string `json:"operation"`
	}
)

// Add adds a backend server to its VM.
func (p *Platform) Add(b *BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm := p.vm(b.VM)
	vm.processes = append(vm.processes, b)
}

// Fail makes every later reboot or upgrade of the VM fail.
func (p *Platform) Fail(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vm(vm).failing = true
}

// Restarts returns the number of reboots and upgrades of the VM.
func (p *Platform) Restarts(vm string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vm(vm).restarts
}

// Address returns the host and port on which the platform listens.
func (p *Platform) Address() string { return p.address }

// Start listens on a loopback port.
func (p *Platform) Start() error {
	port, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = port.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /vms/{vm}/reboot", p.operate)
	mux.HandleFunc("POST /vms/{vm}/upgrade", p.operate)
	mux.HandleFunc("GET /vms/{vm}", p.show)
	mux.HandleFunc("POST /workers/{worker}/tasks", p.startTask)
	mux.HandleFunc("POST /workers/{worker}/tasks/{task}/{verb}", p.controlTask)
	mux.HandleFunc("GET /workers/{worker}/tasks", p.listTasks)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(port)
	return nil
}

// Stop stops listening and waits for operations in progress.
func (p *Platform) Stop() {
	p.server.Close()
	p.running.Wait()
}

// vm returns the VM, which it creates on first use. The caller holds p.mu.
func (p *Platform) vm(id string) *platformVM {
	if p.vms == nil {
		p.vms = make(map[string]*platformVM)
	}
	vm, ok := p.vms[id]
	if !ok {
		vm = &platformVM{state: "serving"}
		p.vms[id] = vm
	}
	return vm
}

func (p *Platform) operate(w http.ResponseWriter, r *http.Request) {
	var request platformRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Operation == "" {
		http.Error(w, "operation is missing", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	vm := p.vm(r.PathValue("vm"))
	if vm.operation != request.Operation {
		vm.operation = request.Operation
		vm.state = "rebooting"
		vm.restarts++
		p.running.Add(1)
		go p.reboot(vm)
	}
	p.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) reboot(vm *platformVM) {
	defer p.running.Done()
	for _, proc := range vm.processes {
		proc.Stop()
	}
	time.Sleep(p.Reboot)
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.failing {
		vm.state = "failed"
		return
	}
	for _, proc := range vm.processes {
		if proc.Start() != nil {
			vm.state = "failed"
			return
		}
	}
	vm.state = "serving"
}

func (p *Platform) show(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	id := r.PathValue("vm")
	vm := p.vm(id)
	answer := platformAnswer{VM: id, State: vm.state, Operation: vm.operation}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}
