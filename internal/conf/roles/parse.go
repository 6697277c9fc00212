package roles

import (
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
	"github.com/clementinewing/clementinewing/internal/edge/keys"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// ReadBalancer reads the settings file of a balancer; the error lists every fault.
func ReadBalancer(path string) (b Balancer, err error) {
	defer func() { err = eris.Wrap(err, "reading the balancer's settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return b, err
	}
	return ParseBalancer(path, string(text))
}

// ReadAgent reads the settings file of an agent; the error lists every fault.
func ReadAgent(path string) (a Agent, err error) {
	defer func() { err = eris.Wrap(err, "reading the agent's settings") }()
	text, err := os.ReadFile(path)
	if err != nil {
		return a, err
	}
	return ParseAgent(path, string(text))
}

// ParseBalancer parses the settings of a balancer.
func ParseBalancer(path, text string) (b Balancer, err error) {
	d, err := lines.Load(path, text, lines.AllowHeadings("balancer", "store", "keys", "tls", "log"))
	if err != nil {
		return b, err
	}
	s := d.Section("balancer")
	s.RejectOtherKeys("name", "region", "domain", "fabric", "tunnel", "control", "status", "contacts")
	b.Fabric = s.Address("fabric")
	err = b.read(path, d, s)
	if err != nil {
		return Balancer{}, err
	}
	return b, nil
}

// ParseAgent parses the settings of an agent.
func ParseAgent(path, text string) (a Agent, err error) {
	d, err := lines.Load(path, text, lines.AllowHeadings("agent", "store", "keys", "tls", "log"))
	if err != nil {
		return a, err
	}
	s := d.Section("agent")
	s.RejectOtherKeys("name", "region", "domain", "fabric", "tunnel", "status", "contacts", "service", "upstream",
		"slots", "connections", "weight", "drain_seconds", "warm_seconds",
		"keepalive_seconds")
	a.Fabric = s.Address("fabric")
	a.Service = s.RequiredName("service")
	a.Upstream = s.Address("upstream")
	a.Slots = number(s, "slots", DefaultSlots, MaxSlots)
	a.Connections = number(s, "connections", DefaultConnections, MaxConnections)
	a.Weight = number(s, "weight", DefaultWeight, MaxWeight)
	a.DrainTimeout = seconds(s, "drain_seconds", DefaultDrainSeconds, MaxDrainSeconds)
	a.WarmUpDuration = time.Second * time.Duration(s.Number("warm_seconds", lines.Limits{
		Max:     MaxWarmSeconds,
		Default: DefaultWarmSeconds,
	}))
	a.KeepaliveIdle = seconds(s, "keepalive_seconds", DefaultKeepaliveSeconds, MaxKeepaliveSeconds)
	err = a.read(path, d, s)
	if err != nil {
		return Agent{}, err
	}
	return a, nil
}

// number reads a whole number from 1 to limit.
func number(s *lines.Section, key string, fallback, limit uint64) uint32 {
	return uint32(s.Number(key, lines.Limits{
		Min:     1,
		Max:     limit,
		Default: fallback,
	}))
}

func seconds(s *lines.Section, key string, fallback, limit uint64) time.Duration {
	return time.Duration(number(s, key, fallback, limit)) * time.Second
}

// read reads the settings common to all roles and returns every fault of the
// document.
func (c *Common) read(path string, d *lines.Document, s *lines.Section) error {
	c.Name = s.RequiredName("name")
	c.Place = zone.Place{
		Region: s.RequiredName("region"),
		Domain: s.RequiredName("domain"),
	}
	c.Tunnel = s.Address("tunnel")
	if s.Name() == "balancer" {
		c.Control = s.Address("control")
	}
	c.Status = s.OptionalAddress("status")
	c.Contacts = s.Addresses("contacts")
	store := d.OptionalSection("store")
	store.RejectOtherKeys("address")
	c.Store.Address = store.OptionalAddress("address")
	log := d.OptionalSection("log")
	log.RejectOtherKeys("level")
	c.LogLevel = log.Choice("level", "info", "debug", "warn", "error")
	keyFaults := c.readKeys(path, d)
	c.readTLS(d)
	return errors.Join(d.Err(), keyFaults)
}

func (c *Common) readTLS(d *lines.Document) {
	const allowed = "a file's path, or insecure = yes for a trial on one machine"
	s := d.OptionalSection("tls")
	s.RejectOtherKeys("certificate", "key", "authority", "insecure")
	c.TLS.Insecure = s.Choice("insecure", "no", "yes") == "yes"
	if c.TLS.Insecure {
		return
	}
	c.TLS.Certificate, _ = s.Required("certificate", allowed)
	c.TLS.Key, _ = s.Required("key", allowed)
	c.TLS.Authority, _ = s.Required("authority", allowed)
}

func (c *Common) readKeys(path string, d *lines.Document) (err error) {
	s := d.Section("keys")
	var entries []keys.Entry
	for _, k := range s.Keys() {
		value, _ := s.Text(k)
		entries = append(entries, keys.Entry{
			Name:  k,
			Value: value,
			File:  path,
			Line:  s.Line(k),
		})
	}
	c.Keys, err = keys.Build(path, entries)
	return err
}
