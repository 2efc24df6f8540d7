package tackcrowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"auburntack/io/tackstandin"
)

const (
	daemonMemoryMB = 64
	// daemonBody is the largest body that the caller port buffers, commandBody the largest
	// command.
	daemonBody  = 1 << 20
	commandBody = 64 << 10
	startLimit  = 60 * time.Second
	service     = "names-api"
)

// daemon is one VM of the product with a backend server.
type daemon struct {
	*tackstandin.Daemon
	client *http.Client
}

// newDaemon starts a VM whose machine is small. A shell sets the limits and becomes the daemon.
func newDaemon(t *testing.T) *daemon {
	t.Helper()
	folder := t.TempDir()
	small := filepath.Join(folder, "small")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nGOMEMLIMIT=%dMiB GOMAXPROCS=1 exec %s \"$@\"\n", maxDescriptors, daemonMemoryMB, binary)
	if err := os.WriteFile(small, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	all, err := tackstandin.NewCluster(small, folder, "", []tackstandin.DaemonSpec{{DataCentre: "rennes-a", Replica: true}})
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{Daemon: all[0], client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(func() {
		d.Kill()
		if t.Failed() {
			logs := d.Logs()
			t.Log(logs[max(0, len(logs)-4000):])
		}
	})
	if err := d.Start(startLimit); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"create pool front", "create service " + service + " on pool front"} {
		if reply, err := d.Do(command, ""); err != nil || !reply.Accepted {
			t.Fatalf("%s: %+v, %v", command, reply, err)
		}
	}
	server := &tackstandin.BackendServer{
		Name: "names-api-1", VM: "w-1", Service: service, DataCentre: "rennes-a", Slots: 8,
		Operators: []string{d.Operator}, Tally: new(tackstandin.Tally),
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	if reply, err := d.Do("add vm w-1 to pool front", ""); err != nil || !reply.Accepted {
		t.Fatalf("adding a VM: %+v, %v", reply, err)
	}
	if err := retry(d.ordinary); err != nil {
		t.Fatalf("no request was served before the crowd: %v", err)
	}
	return d
}

// ordinary has a request served, runs a command, and asks whether the VM is ready.
func (d *daemon) ordinary() error {
	if err := d.call(http.MethodPost, "http://"+d.Caller+"/"+service+"/x", strings.NewReader("body")); err != nil {
		return err
	}
	if err := d.call(http.MethodGet, "http://"+d.Operator+"/readyz", nil); err != nil {
		return err
	}
	reply, err := d.Do("set config colour red", "")
	if err == nil && !reply.Accepted {
		err = fmt.Errorf("a command: %+v", reply)
	}
	return err
}

func (d *daemon) call(method, url string, body io.Reader) error {
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	answer, err := d.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s %.200s", method, url, answer.Status, text)
	}
	return err
}

// Guards against callers, operators and peers that end a daemon.
func TestDaemonSurvivesCrowds(t *testing.T) {
	request := head(http.MethodPost, "/"+service+"/x")
	command := head(http.MethodPost, "/do")
	ports := []struct {
		name    string
		address func(*daemon) string
		cases   []crowdCase
	}{
		{"caller", func(d *daemon) string { return d.Caller }, append(bodyCases(request, daemonBody), headerCases(request)...)},
		{"operator", func(d *daemon) string { return d.Operator }, append(bodyCases(command, commandBody), headerCases(command)...)},
		{"peer", func(d *daemon) string { return d.Peer }, headerCases(head(http.MethodGet, "/"))},
	}
	for _, p := range ports {
		for _, c := range p.cases {
			t.Run(p.name+"/"+c.name, func(t *testing.T) {
				d := newDaemon(t)
				watched := target{pid: d.PID(), memoryMB: daemonMemoryMB, listens: []string{d.Caller, d.Operator, d.Peer}}
				assertSurvives(t, watched, d.Running,
					func() *crowd { return startCrowd(t, p.address(d), c.size, c.send) }, d.ordinary)
			})
		}
	}
}

// Guards against limits that refuse the largest request that a daemon holds in memory.
func TestLargestRequestIsServed(t *testing.T) {
	d := newDaemon(t)
	body := strings.Repeat("x", daemonBody)
	url := "http://" + d.Caller + "/" + service + "/x"
	if err := d.call(http.MethodPost, url, strings.NewReader(body)); err != nil {
		t.Errorf("announced: %v", err)
	}
	if err := d.call(http.MethodPost, url, io.MultiReader(strings.NewReader(body))); err != nil {
		t.Errorf("chunked: %v", err)
	}
}
