package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the names that the platform's pages give to headers, fields and variables. Go code outside
// the platform's module holds none of them.
var names = readNames()

type wireNames struct {
	ID, Signature, Chain, NotRun, TokenCounts, RefusedBy, PromptParts string
	SettingsFile, TokenBytes, Target, PathPrefix                      string
}

func readNames() (n wireNames) {
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
