package fakes

import (
	"fmt"
	"strings"
)

// OddEntry is an entry that another writer may leave among those of the servers. It names no server to
// use.
type OddEntry struct {
	Name string
	// Service is the service that it names.
	Service string
	// fields are those besides the service and the address; the address replaces %s.
	fields string
}

// nesting is deeper than what encoding/json reads.
const nesting = 20_000

// OddEntries are the known kinds of such entries.
var OddEntries = []OddEntry{
	{"deep", "assist", `"state":"ready","layers":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting)},
	{"deep-object", "assist", `"state":1,"extra":` + strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting)},
	{"many-layers", "assist", `"zone":"zone-a","state":"ready","kind":"card","slots":16,"born":1,"layers":{"from":0,"target":4611686018427387904}`},
	{"far-layers", "assist", `"zone":"zone-a","state":"ready","kind":"card","slots":16,"born":1,"layers":{"from":4611686018427387900,"target":4611686018427387904}`},
	{"other-layers", "assist", `"zone":"zone-a","state":"ready","kind":"card","slots":16,"born":1,"layers":{"from":20000,"target":30000}`},
	{"many-slots", "booking", `"zone":"zone-a","state":"ready","slots":9223372036854775807,"born":1`},
	{"negative-slots", "booking", `"zone":"zone-a","state":"ready","slots":-9223372036854775808,"born":1`},
	{"far-start", "assist", `"zone":"zone-a","state":"ready","kind":"card","slots":16,"born":9223372036854775807,"layers":null`},
	{"early-start", "assist", `"zone":"zone-a","state":"ready","kind":"card","slots":16,"born":-9223372036854775808,"layers":null`},
	{"large-number", "assist", `"state":"ready","slots":1e999,"born":99999999999999999999`},
	{"large-port", "assist", `"address":"127.0.0.1:70000","state":"ready","slots":16,"born":1`},
	{"no-port", "booking", `"address":"127.0.0.1:0","state":"ready","slots":16,"born":1`},
	{"no-host", "booking", `"address":"0.0.0.0:80","state":"ready","slots":16,"born":1`},
	{"types", "booking", `"state":["ready"],"slots":"16","born":{}`},
}

// Spec returns the entry. address is that of a server, unless the entry has one of its own.
func (o OddEntry) Spec(address string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,%s}`, o.Service, address, o.fields)
}
