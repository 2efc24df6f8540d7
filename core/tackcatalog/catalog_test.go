package tackcatalog

import (
	"errors"
	"testing"
)

func valid() *Catalog {
	return &Catalog{
		Version:  3,
		Services: []Service{{Name: "names-api"}, {Name: "communes"}},
		Queues: []Queue{
			{QueueKey: QueueKey{"a.example", "/q/"}, Service: "names-api", Timeout: 1},
			{QueueKey: QueueKey{"a.example", "/q/deep/"}, Service: "communes", Timeout: 1},
		},
	}
}

func TestValidate(t *testing.T) {
	if err := valid().Validate(); err != nil {
		t.Fatalf("a sound catalog: %v", err)
	}
	for field, spoil := range map[string]func(*Catalog){
		"version":              func(c *Catalog) { c.Version = 0 },
		"services[1].name":     func(c *Catalog) { c.Services[1].Name = "names-api" },
		"routes[1].service":    func(c *Catalog) { c.Queues[1].Service = "nobody" },
		"routes[1]":            func(c *Catalog) { c.Queues[1].Prefix = "/q/" },
		"routes[0].timeout_ms": func(c *Catalog) { c.Queues[0].Timeout = 0 },
		"routes[0].prefix":     func(c *Catalog) { c.Queues[0].Prefix = "q" },
	} {
		t.Run(field, func(t *testing.T) {
			c := valid()
			spoil(c)
			var invalid *InvalidError
			if err := c.Validate(); !errors.As(err, &invalid) || invalid.Field != field {
				t.Errorf("error %v, want one of %s", err, field)
			}
		})
	}
}

func TestMatch(t *testing.T) {
	c := valid()
	for _, test := range []struct{ host, path, service, rest string }{
		{"a.example", "/q/1", "names-api", "1"},
		{"a.example", "/q/deep/1", "communes", "1"},
		{"a.example", "/q/", "names-api", ""},
		{"a.example", "/other", "", ""},
		{"b.example", "/q/1", "", ""},
	} {
		q, rest := c.Match(test.host, test.path)
		if q == nil {
			if test.service != "" {
				t.Errorf("%s%s: no queue", test.host, test.path)
			}
			continue
		}
		if string(q.Service) != test.service || rest != test.rest {
			t.Errorf("%s%s: %s and %q, want %s and %q", test.host, test.path, q.Service, rest, test.service, test.rest)
		}
	}
}
