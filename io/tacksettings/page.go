package tacksettings

import (
	"fmt"
	"io"
	"strings"
)

// pageHead is the start of the page of settings.
const pageHead = `# Settings

Generated from the table in io/tacksettings by ` + "`go test ./io/tacksettings -update`" + `; don't edit by hand.

A daemon reads one INI file, given by ` + "`--config`" + `. ` + "`auburntackd check --config FILE`" + ` lists every problem
at once. A comment begins with ` + "`;` or `#`" + `, on a line of its own or after a value and a space; a value
that holds either is put in double quotes. A key or section that is not listed here is a problem, and so is one
given twice. Settings are read at the start; to change one, restart the VM.

Addresses are IP numbers with a port: a host name would have to be looked up at the very moment at which the
network may be cut. Where a section's keys all have defaults, the section may be left out.

Any number of replicas is accepted. Use 3 or 5, spread so that the loss of one data centre leaves a majority: an
even number tolerates no more losses than the odd one below it, and with 1 or 2 the loss of one stops every change.
`

// pageTail is the end of the page of settings.
const pageTail = `
## What must fit together

- A replica needs a ` + "`state.folder`" + `.
- Each ` + "`[peer.ID]`" + ` is another VM, with an address that no other VM has.
- The three ` + "`[listen]`" + ` addresses are different.
- ` + "`replica.lease_ms`" + ` is below ` + "`replica.election_ms`" + ` and at least twice ` + "`replica.heartbeat_ms`" + `; all
  three are the same on every VM.
- ` + "`stop.linger_ms`" + ` is below ` + "`stop.deadline_ms`" + `.

## Limits of clients without a setting

| limit | value | beyond it |
| --- | --- | --- |
| connections of clients, all ports together | 80 % of the descriptors, and at 24 KiB each 60 % of what ` + "`clients.memory_percent`" + ` gives | another connection is closed, or the new one |
| connections of clients of the readiness and the metrics port on the users' platform | 64 each | the same |
| connections to the links of a control VM on the users' platform | 256 | the same |
| connections of an entry VM to each control VM | 15 % of the descriptors | requests wait for one; 503 if they get none in time |
| time of a client of the readiness and metrics ports for an answer | 3 s, or ` + "`clients.write_timeout_ms`" + ` if that is less | the connection is closed |
| time for the rest of a body that is not read | 250 ms | the connection is closed |
| body of a job | 1 MiB | 413 |
| steps of a job, and names in ` + "`after`" + ` | 1,000 each | 400 |
| body of a heartbeat; of a configuration or a wave | 2 MiB; 8 MiB | 413 |
| routes, services, workspaces and keys of a configuration | 50,000, 10,000, 20,000 and 100,000 | 400 |
| body of a command or an announcement | 64 KiB | 413 |
| message of an entry VM, and elements of a list in it | 4 MiB, 10,000 | 413, 400 |
`

// WritePage writes all settings with unit, default and range in Markdown.
// docs/SETTINGS.md is generated from it.
func WritePage(w io.Writer) error {
	var b strings.Builder
	b.WriteString(pageHead)
	section := ""
	for i := range table {
		e := &table[i]
		if e.section != section {
			section = e.section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | default | allowed | what it does |\n| --- | --- | --- | --- | --- |\n", sectionTitle(section))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", e.key, e.unit(), e.defaultText(), e.rangeText(), e.doc)
	}
	b.WriteString(pageTail)
	_, err := io.WriteString(w, b.String())
	return err
}

func (e *entry) unit() string {
	switch e.kind {
	case kindMillis:
		return "ms"
	case kindBytes:
		return "bytes"
	case kindPercent:
		return "percent"
	default:
		return "-"
	}
}

func (e *entry) defaultText() string {
	switch {
	case e.required:
		return "must be given"
	case e.defaultValue == "":
		return "left out"
	default:
		return "`" + e.defaultValue + "`"
	}
}

func (e *entry) rangeText() string {
	return strings.TrimPrefix(e.allowed(), "allowed is ")
}
