package tackcrowd

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"auburntack/platform/tackhost"
)

const (
	jobHost   = "crowd.example"
	jobPrefix = "/crowd/"
	smallJob  = `{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1,"est_ms":1}]}`
	// configRoutes is the number of routes of the configuration, about 1 MB of text.
	configRoutes = 5000
)

// deployment is a set of processes on the platform: three control VMs and an entry VM.
type deployment struct {
	host    *tackhost.Host
	control *tackhost.Node
	entry   *tackhost.Node
	client  *http.Client
	beats   int
	worker  string
}

func newDeployment(t *testing.T, routes int) *deployment {
	t.Helper()
	d := &deployment{worker: fmt.Sprintf("i-crowd-%x", rand.Uint32())}
	// Every attempt uses a connection of its own.
	d.client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	d.host = tackhost.New(tackhost.Config{
		Binary: binary, Folder: t.TempDir(), Network: byte(80 + os.Getpid()%120), Controls: 3, Entries: 1,
		MemoryMB: memoryMB, MaxFDs: maxDescriptors, Cores: 1,
	})
	t.Cleanup(func() {
		d.host.StopAll()
		if t.Failed() {
			var logs strings.Builder
			d.host.CopyLogs(&logs)
			t.Log(logs.String())
		}
	})
	for _, n := range d.host.Nodes {
		if err := d.host.Start(n); err != nil {
			t.Fatal(err)
		}
	}
	d.entry = d.host.NodesByRole(false)[0]
	config := configuration(routes)
	if err := retry(func() error { return d.findLeader(config) }); err != nil {
		t.Fatalf("no configuration was accepted: %v", err)
	}
	if err := retry(d.submit); err != nil {
		t.Fatalf("no job was accepted before the crowd: %v", err)
	}
	return d
}

// findLeader sends a configuration to each control VM. The one that accepts it itself leads, and
// is the one that crowds attack.
func (d *deployment) findLeader(config string) error {
	var err error
	client := *d.client
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for _, n := range d.host.NodesByRole(true) {
		answer, postErr := client.Post("http://"+n.Address()+"/config/replace", "application/json", strings.NewReader(config))
		if postErr != nil {
			err = postErr
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			d.control = n
			return nil
		}
		err = fmt.Errorf("%s answered %s", n.Name, answer.Status)
	}
	return err
}

// configuration returns a configuration with the queue of the tests and further routes.
func configuration(routes int) string {
	var list strings.Builder
	for i := range routes {
		fmt.Fprintf(&list, `{"name":"r-%d","host":"other.example","prefix":"/q%d/","kind":"unsafe","timeout_ms":3000,"slo_ms":5000,`+
			`"priority":0,"service":"crowd","attempts":3,"stretch_factor":1.6},`, i, i)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s{"name":"r","host":%q,"prefix":%q,"kind":"unsafe","timeout_ms":3000,"slo_ms":5000,`+
		`"priority":0,"service":"crowd","attempts":3,"stretch_factor":1.6}],"services":[{"name":"crowd","health_path":"/","max_conns":64,`+
		`"proto":"h1","tls":false,"rejects_overload":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":%d,`+
		`"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, list.String(), jobHost, jobPrefix, legalBody)
}

func (d *deployment) post(address, path, body string) error {
	return d.call(http.MethodPost, address, path, body)
}

func (d *deployment) call(method, address, path, body string) error {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = jobHost
	answer, err := d.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s %.200s", method, path, answer.Status, text)
	}
	return err
}

// beat sends the heartbeat of a worker to the control VM that a crowd attacks.
func (d *deployment) beat() error {
	d.beats++
	return d.post(d.control.Address(), "/instances/"+d.worker+"/heartbeat", fmt.Sprintf(
		`{"service":"crowd","addr":"10.0.0.1:80","zone":"z-1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,`+
			`"capacity":{"cpu":64000,"mem_mb":64000,"gpu":0},"labels":["a"],"clock_ms":1,"seq":%d,"running":[],"ended":[]}`, d.beats))
}

// submit submits a small job through the entry VM. A worker reports before, so that there is
// room for it.
func (d *deployment) submit() error {
	if err := d.beat(); err != nil {
		return err
	}
	return d.submitBody(smallJob)
}

func (d *deployment) submitBody(body string) error {
	return d.post(d.entry.Address(), fmt.Sprintf("%s%016x", jobPrefix, rand.Uint64()), body)
}

// ownPages requests what the platform and operators ask each VM for.
func (d *deployment) ownPages(n *tackhost.Node) error {
	if err := d.call(http.MethodGet, n.Readiness(), "/readyz", ""); err != nil {
		return err
	}
	return d.call(http.MethodGet, n.Metrics(), "/metrics", "")
}

// assertNodeSurvives attacks one of the addresses of a VM.
func (d *deployment) assertNodeSurvives(t *testing.T, n *tackhost.Node, address string, size int, send func(io.Writer) error) {
	t.Helper()
	pid := n.PID()
	p := target{pid: pid, memoryMB: memoryMB, listens: []string{
		n.Address(), n.Readiness(), n.Metrics(), n.Links(), n.Forwarding(),
	}}
	assertSurvives(t, p, func() bool { return n.PID() == pid },
		func() *crowd { return startCrowd(t, address, size, send) },
		func() error {
			if err := d.submit(); err != nil {
				return err
			}
			return d.ownPages(n)
		})
}

// crowdCase is what each client of a crowd sends.
type crowdCase struct {
	name string
	size int
	send func(io.Writer) error
}

func head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + jobHost + "\r\n"
}

// bodyCases are crowds that send bodies of the given size or far larger ones.
func bodyCases(head string, size int) []crowdCase {
	return []crowdCase{
		{"announced bodies without their last byte", crowdSize, sendAnnounced(head, size, size)},
		{"announced bodies in pieces without their last byte", crowdSize, sendAnnounced(head, size, 8<<10)},
		{"large chunks without the last one", crowdSize, sendChunked(head, size, 64<<10)},
		{"small chunks without the last one", crowdSize, sendChunked(head, size, 4)},
		{"bodies announced far over the limit", crowdSize, sendTooLarge(head)},
		{"chunked bodies far over the limit", crowdSize, sendChunked(head, excess, 64<<10)},
	}
}

func headerCases(head string) []crowdCase {
	return []crowdCase{
		{"headers without their end", crowdSize, sendHeader(head, 60<<10)},
		{"connections that send nothing", silentSize, sendNothing},
	}
}

// manySteps returns the body of a job of the given size that has as many steps as fit.
func manySteps(size int) string {
	steps := strings.Repeat("{},", (size-20)/3)
	return `{"steps":[` + steps + `{}]}`
}

// manyRuns returns a heartbeat of at most the given size that lists as many runs as fit.
func manyRuns(size int) string {
	const begin = `{"service":"crowd","addr":"10.0.0.2:80","zone":"z-1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,` +
		`"capacity":{"cpu":1,"mem_mb":1,"gpu":0},"labels":["a"],"clock_ms":1,"seq":1,"ended":[],"running":[`
	const run = `["00000000000000aa.0.0.1",1,"",0],`
	return begin + strings.TrimSuffix(strings.Repeat(run, (size-len(begin)-2)/len(run)), ",") + `]}`
}

// Guards against callers that end an entry VM.
func TestFrontendSurvivesCrowds(t *testing.T) {
	submit := head(http.MethodPost, jobPrefix+"00000000000000aa")
	cases := append(bodyCases(submit, legalBody), headerCases(submit)...)
	cases = append(cases,
		crowdCase{"complete requests", silentSize, sendWhole(submit, smallJob)},
		crowdCase{"whole bodies of many steps", crowdSize, sendWhole(submit, manySteps(legalBody))},
		crowdCase{"bodies that no request of their method has", crowdSize,
			sendAnnounced(head(http.MethodGet, jobPrefix+"00000000000000aa"), legalBody, legalBody)},
		crowdCase{"answers that are not read", crowdSize, sendRequests(head(http.MethodGet, jobPrefix), 2000)},
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 0)
			d.assertNodeSurvives(t, d.entry, d.entry.Address(), c.size, c.send)
		})
	}
}

// Guards against workers and operators that end a control VM.
func TestControlPlaneSurvivesCrowds(t *testing.T) {
	beat := head(http.MethodPost, "/instances/i-x/heartbeat")
	replace := head(http.MethodPost, "/config/replace")
	cases := append(bodyCases(beat, legalBody), headerCases(beat)...)
	cases = append(cases,
		crowdCase{"whole heartbeats of many runs", crowdSize, sendWhole(beat, manyRuns(legalBody))},
		crowdCase{"configurations without their last byte", crowdSize, sendAnnounced(replace, 1<<20, 1<<20)},
		crowdCase{"whole configurations of many routes", crowdSize, sendWhole(replace, strings.Replace(manySteps(legalBody), "steps", "routes", 1))},
		crowdCase{"configurations that are not read", crowdSize, sendRequests(head(http.MethodGet, "/config/read"), 4)},
	)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, configRoutes)
			d.assertNodeSurvives(t, d.control, d.control.Address(), c.size, c.send)
		})
	}
}

// Guards against clients of the ports between VMs, of readiness and of metrics that end a VM.
func TestInternalPortsSurviveCrowds(t *testing.T) {
	forward := head(http.MethodPost, "/request")
	get := head(http.MethodGet, "/")
	ports := []struct {
		name    string
		address func(*tackhost.Node) string
		cases   []crowdCase
	}{
		{"forwarding", (*tackhost.Node).Forwarding, append(headerCases(forward),
			crowdCase{"announced bodies without their last byte", crowdSize, sendAnnounced(forward, legalBody, legalBody)})},
		{"links", (*tackhost.Node).Links, headerCases(get)},
		{"readiness", (*tackhost.Node).Readiness, headerCases(get)},
		{"metrics", (*tackhost.Node).Metrics, append(headerCases(get),
			crowdCase{"pages that are not read", crowdSize, sendRequests(head(http.MethodGet, "/metrics"), 40)})},
	}
	for _, p := range ports {
		for _, c := range p.cases {
			t.Run(p.name+"/"+c.name, func(t *testing.T) {
				d := newDeployment(t, 0)
				d.assertNodeSurvives(t, d.control, p.address(d.control), c.size, c.send)
			})
		}
	}
}

// Guards against limits that refuse the largest job that callers may send.
func TestLargestJobIsServed(t *testing.T) {
	d := newDeployment(t, 0)
	const stepsOfJob = 900
	step := `{"count":1,"cpu":1,"mem_mb":1,"est_ms":1,"image":"IMAGE"}`
	room := legalBody - len(`{"spec":"","steps":[]}`) - 4000 - stepsOfJob*(len(step)-len("IMAGE")+1)
	step = strings.Replace(step, "IMAGE", strings.Repeat("i", room/stepsOfJob), 1)
	body := `{"spec":"` + strings.Repeat("x", 4000) + `","steps":[` + strings.TrimSuffix(strings.Repeat(step+",", stepsOfJob), ",") + `]}`
	body += strings.Repeat(" ", legalBody-len(body))
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			err := retry(func() error {
				if err := d.beat(); err != nil {
					return err
				}
				if chunked {
					return d.submitChunked(body)
				}
				return d.submitBody(body)
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
}

// submitChunked submits a job whose length is not announced.
func (d *deployment) submitChunked(body string) error {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%s%016x", d.entry.Address(), jobPrefix, rand.Uint64()),
		io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return err
	}
	r.Host = jobHost
	answer, err := d.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("chunked: %s", answer.Status)
	}
	return nil
}
