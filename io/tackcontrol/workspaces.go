package tackcontrol

import (
	"encoding/json"
	"net/http"

	"auburntack/core/tackdispatch"
	"auburntack/core/tackid"
	"auburntack/core/tackroom"
	"auburntack/core/tackworkspace"
)

const (
	// WorkspacesPath is the path at which a control VM lists the workspaces for operators;
	// with the parameter WorkspaceName it shows one of them in full.
	WorkspacesPath = "/workspaces"
	// WorkspaceName is the query parameter that names a workspace.
	WorkspaceName = "name"
)

type (
	// answerBody is an answer in the format of the operators' client.
	answerBody struct {
		// Confirmed is false if this VM is not the leader: its data may be outdated, and it
		// does not know what is running.
		Confirmed bool            `json:"confirmed"`
		Revision  tackid.Revision `json:"revision"`
		Columns   []string        `json:"columns"`
		Rows      [][]any         `json:"rows"`
	}

	// workspace is a workspace with its status.
	workspace struct {
		*tackworkspace.Workspace
		tackdispatch.WorkspaceStatus
	}
)

// WorkspacesPage returns the handler of operators' queries about workspaces. Keys are shown
// by the first digits of their fingerprints.
func (c *Control) WorkspacesPage() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, confirmed := c.workspaces()
		a := answerBody{Confirmed: confirmed, Revision: c.status.Load().Applied, Rows: [][]any{}}
		if name := r.URL.Query().Get(WorkspaceName); name == "" {
			a.list(list)
		} else if !a.show(list, tackid.Workspace(name)) {
			w.WriteHeader(http.StatusNotFound)
			writeAnswer(c, w, map[string]any{"error": map[string]string{"code": "not_found", "message": "no such workspace"}})
			return
		}
		writeAnswer(c, w, a)
	})
}

func writeAnswer(c *Control, w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		c.log.WithError(err).Debug("answer not sent")
	}
}

// workspaces returns the workspaces of the catalog, and whether this VM is the leader.
func (c *Control) workspaces() ([]workspace, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	term, leads := c.leads(c.clock.Now())
	leads = leads && c.dispatchTerm == term
	catalog := c.state.Catalog.Workspaces
	list := make([]workspace, len(catalog))
	for i := range catalog {
		list[i].Workspace = &catalog[i]
		if leads {
			list[i].WorkspaceStatus = c.dispatch.WorkspaceStatus(catalog[i].Name)
		}
	}
	return list, leads
}

func (a *answerBody) list(list []workspace) {
	a.Columns = []string{"workspace", "keys", "weight", "jobs", "waiting", "running_cores", "cap_cores", "running_gb", "cap_gb", "running_gpus", "cap_gpus"}
	for i := range list {
		w := &list[i]
		a.Rows = append(a.Rows, []any{
			w.Name, len(w.Keys), w.Weight, w.Jobs, w.Waiting, cores(w.Running), capCell(cores(w.Cap)),
			gigabytes(w.Running), capCell(gigabytes(w.Cap)), w.Running.GPUs, capCell(float64(w.Cap.GPUs)),
		})
	}
}

// show fills in the details of one workspace; false if there is none of that name.
func (a *answerBody) show(list []workspace, name tackid.Workspace) bool {
	a.Columns = []string{"field", "value"}
	for i := range list {
		w := &list[i]
		if w.Name != name {
			continue
		}
		a.Rows = [][]any{
			{"workspace", w.Name}, {"weight", w.Weight}, {"share_percent", 100 * w.Share}, {"priority", w.Priority},
			{"jobs", w.Jobs}, {"waiting", w.Waiting}, {"running", w.Running.String()}, {"cap", w.Cap.String()},
		}
		for _, key := range w.Keys {
			a.Rows = append(a.Rows, []any{"key", key.Short()})
		}
		return true
	}
	return false
}

func cores(r tackroom.Resources) float64     { return float64(r.MilliCores) / 1000 }
func gigabytes(r tackroom.Resources) float64 { return float64(r.MemoryMB) / 1024 }

// capCell returns the table cell for a cap, where zero means none.
func capCell(n float64) any {
	if n == 0 {
		return ""
	}
	return n
}
