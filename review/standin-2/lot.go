package main

import (
	"encoding/json"
	"fmt"
	"time"
)

type lotResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

type listing struct {
	Status  int
	Total   int         `json:"total"`
	Next    int         `json:"next"`
	Results []lotResult `json:"results"`
}

// readLot reads results of a batch job from a position on.
func readLot(front, id string, after int) listing {
	o := attempt("GET", front, fmt.Sprintf("/lots/%s?after=%d", id, after), "", "", map[string]string{"X-Wait-Ms": "1000"}, 2500*time.Millisecond)
	l := listing{Status: o.status}
	if o.err == nil && o.status == 200 {
		_ = json.Unmarshal([]byte(o.body), &l)
	}
	return l
}
