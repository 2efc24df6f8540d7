package tackcontrol_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"auburntack/core/tackcatalog"
	"auburntack/core/tackid"
	"auburntack/core/tackjob"
	"auburntack/core/tackwork"
	"auburntack/core/tackworkspace"
)

// keyedCatalog returns a catalog with a public queue, /open/, and one that requires a key,
// /q/.
func keyedCatalog(v tackcatalog.Version, keys map[tackid.Workspace][]string) *tackcatalog.Catalog {
	c := catalog
	c.Version, c.Source, c.RequiresKeys = v, []byte{byte(v)}, true
	open := c.Queues[0]
	open.Prefix, open.Public = "/open/", true
	c.Queues = append([]tackcatalog.Queue{open}, c.Queues...)
	for _, name := range []tackid.Workspace{"mairies", "postes"} {
		w := tackworkspace.Workspace{Name: name}
		for _, key := range keys[name] {
			w.Keys = append(w.Keys, tackworkspace.FingerprintOf(key))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return &c
}

func (c *cluster) put(catalog *tackcatalog.Catalog, want tackwork.Verdict) {
	c.t.Helper()
	if a := c.running[c.leader()].control.PutCatalog(context.Background(), catalog); a.Verdict != want {
		c.t.Fatalf("catalog %d: %v (%s), want %v", catalog.Version, a.Verdict, a.Reason, want)
	}
}

// assertKey sends a request with a key; path names the queue and the job.
func (c *cluster) assertKey(op tackwork.Operation, key, path string, want tackwork.Verdict) {
	c.t.Helper()
	r := &tackwork.Request{Operation: op, Host: "a.example", Path: path, Key: tackworkspace.FingerprintOf(key)}
	if op == tackwork.Submit {
		r.Spec = &tackjob.Spec{Steps: []tackjob.Step{{Count: 1, Estimate: 100}}}
	}
	var got tackwork.Answer
	for range 20 {
		if got = c.client.Do(context.Background(), r); got.Verdict != tackwork.Unavailable && got.Verdict != tackwork.Unknown {
			break
		}
	}
	if got.Verdict != want {
		c.t.Errorf("%v of %s with key %q: %v (%s), want %v", op, path, key, got.Verdict, got.Reason, want)
	}
	if key != "" && strings.Contains(got.Reason, key) {
		c.t.Errorf("the reason %q contains the key", got.Reason)
	}
}

func TestKeys(t *testing.T) {
	const both, other = "/q/" + jobA, "/q/" + jobB
	c := newRunningCluster(t)
	c.put(keyedCatalog(5, map[tackid.Workspace][]string{"mairies": {"m1", "m2"}, "postes": {"p1"}}), tackwork.Done)
	t.Run("all calls for a job require a key", func(t *testing.T) {
		for _, key := range []string{"", "nobody's", "M1"} {
			for _, op := range []tackwork.Operation{tackwork.Submit, tackwork.Lookup, tackwork.Cancel} {
				c.assertKey(op, key, both, tackwork.NoKey)
			}
			c.assertKey(tackwork.Lookup, key, "/q/", tackwork.NoKey)
		}
		c.assertKey(tackwork.Lookup, "m1", both, tackwork.NoJob)
	})
	t.Run("a job belongs to its workspace", func(t *testing.T) {
		c.assertKey(tackwork.Submit, "m1", both, tackwork.Done)
		c.assertKey(tackwork.Submit, "m2", both, tackwork.Done)
		c.assertKey(tackwork.Lookup, "m2", both, tackwork.Done)
		c.assertKey(tackwork.Lookup, "p1", both, tackwork.NoJob)
		c.assertKey(tackwork.Cancel, "p1", both, tackwork.NoJob)
		c.assertKey(tackwork.Submit, "p1", both, tackwork.Invalid)
		c.assertKey(tackwork.Lookup, "p1", "/q/", tackwork.Done)
	})
	t.Run("a public queue requires no key", func(t *testing.T) {
		c.assertKey(tackwork.Submit, "", "/open/"+jobB, tackwork.Done)
		c.assertKey(tackwork.Lookup, "nobody's", "/open/"+jobB, tackwork.Done)
		c.assertKey(tackwork.Lookup, "", "/open/", tackwork.Done)
		c.assertKey(tackwork.Lookup, "m1", other, tackwork.NoJob)
	})
	t.Run("a missing queue is reported before a missing key", func(t *testing.T) {
		c.assertKey(tackwork.Lookup, "", "/nowhere/", tackwork.NoQueue)
	})
	t.Run("a key that two workspaces share is rejected", func(t *testing.T) {
		c.put(keyedCatalog(6, map[tackid.Workspace][]string{"mairies": {"m1"}, "postes": {"p1", "m1"}}), tackwork.Invalid)
		c.assertKey(tackwork.Lookup, "m2", both, tackwork.Done)
	})
	t.Run("a removed key gives no access, whichever VM leads", func(t *testing.T) {
		c.put(keyedCatalog(7, map[tackid.Workspace][]string{"mairies": {"m2"}, "postes": {"p1", "p2"}}), tackwork.Done)
		check := func() {
			c.assertKey(tackwork.Submit, "m1", other, tackwork.NoKey)
			c.assertKey(tackwork.Lookup, "m1", both, tackwork.NoKey)
			c.assertKey(tackwork.Lookup, "m2", both, tackwork.Done)
			c.assertKey(tackwork.Lookup, "p2", "/q/", tackwork.Done)
		}
		check()
		c.stop(c.leader())
		check()
	})
	t.Run("operators see only fingerprints", func(t *testing.T) {
		page := func(query string) (int, string) {
			w := httptest.NewRecorder()
			c.running[c.leader()].control.WorkspacesPage().ServeHTTP(w, httptest.NewRequest("GET", "/workspaces"+query, nil))
			return w.Code, w.Body.String()
		}
		_, list := page("")
		_, one := page("?name=postes")
		for _, want := range []string{`"confirmed":true`, `"mairies",1,`, `"postes",2,`} {
			if !strings.Contains(list, want) {
				t.Errorf("listed %s, want %s in it", list, want)
			}
		}
		if short := tackworkspace.FingerprintOf("p2").Short(); !strings.Contains(one, short) || strings.Contains(list+one, `"p2"`) {
			t.Errorf("shown %s and %s, want %s and no key", list, one, short)
		}
		if code, body := page("?name=nobody"); code != http.StatusNotFound {
			t.Errorf("%d, %s for a workspace that does not exist", code, body)
		}
	})
	t.Run("a workspace without keys has no access", func(t *testing.T) {
		c.put(keyedCatalog(8, nil), tackwork.Done)
		for _, key := range []string{"m1", "m2", "p1", "p2"} {
			c.assertKey(tackwork.Lookup, key, both, tackwork.NoKey)
		}
		c.put(keyedCatalog(9, map[tackid.Workspace][]string{"mairies": {"m3"}}), tackwork.Done)
		c.assertKey(tackwork.Lookup, "m3", both, tackwork.Done)
	})
}
