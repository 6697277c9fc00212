package main

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Ports of the processes, which have an address each.
const (
	innerPort    = 7720
	metricsPort  = 7735
	callersPort  = 8172
	outboundPort = 8162
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	storePort    = 8169
)

// fields are the fields of a process's settings by their path, as the platform's pages name them.
type fields map[string]string

// newFields returns the settings of the process at an address. It is a balancer if service is
// empty, otherwise an agent.
func (d *deployment) newFields(a netip.Addr, zone, service string) fields {
	at := func(port int) string { return fmt.Sprintf("%s:%d", a, port) }
	f := fields{
		"node":                "node-" + a.String(),
		"ip":                  a.String(),
		"zone":                zone,
		"listen.datagramAddr": at(callersPort),
		"listen.ready":        at(readyPort),
		"listen.control":      at(controlPort),
		"portRange.0":         fmt.Sprint(innerPort),
		"portRange.1":         fmt.Sprint(metricsPort),
		"seeds":               d.seeds(),
		"bootstrap":           "true",
		"heartbeatMs":         fmt.Sprint(reportInterval.Milliseconds()),
		"contracts":           "base,drain,config,cost,recover,flows,platform",
		"bounds.graceS":       "6",
		"platform.address":    netip.AddrPortFrom(d.net.Store().Addr(), storePort).String(),
	}
	if service != "" {
		f["listen.outbound"] = at(outboundPort)
		f["app"] = at(appPort)
		f["service"] = service
	}
	return f
}

func (d *deployment) seeds() string {
	var list []string
	for i := range min(balancers, 3) {
		list = append(list, netip.AddrPortFrom(d.net.Balancer(i), controlPort).String())
	}
	return strings.Join(list, ",")
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9.]+)\}\}(.*?)\{\{/[a-zA-Z0-9.]+\}\}`)
	value   = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)\}\}`)
)

// render fills in a template of settings: values, and sections for fields that are present.
func render(template string, f fields) string {
	text := section.ReplaceAllStringFunc(template, func(part string) string {
		m := section.FindStringSubmatch(part)
		if f[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return value.ReplaceAllStringFunc(text, func(part string) string {
		return f[value.FindStringSubmatch(part)[1]]
	})
}
