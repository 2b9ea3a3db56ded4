package main

import (
	"net/http"
	"time"
)

var zones = []string{"garmisch", "berchtesgaden", "oberstdorf"}

// smallConfig is a configuration like that of the small deployment.
func smallConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "a", "host": host, "pathPrefix": "/lohu930/", "kind": "stream", "service": "beacon-assist", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 2, "resumable": true, "gapAimMs": 250, "priority": 0, "stickySessions": true},
			{"name": "b", "host": host, "pathPrefix": "/cuxa770/", "kind": "stream", "service": "beacon-assist", "timeoutMs": 5000, "targetLatencyMs": 300, "maxAttempts": 1, "gapAimMs": 250, "priority": 0, "stickySessions": true},
			{"name": "c", "host": host, "pathPrefix": "/pule252/", "kind": "batch", "service": "beacon-assist", "timeoutMs": 15000, "targetLatencyMs": 400, "maxAttempts": 3, "resumable": true, "gapAimMs": 250, "priority": 2, "completionWindowMs": 18000, "queueTtlS": 60, "cap": 2000000, "stickySessions": true},
		},
		"services": []map[string]any{{"name": "beacon-assist", "healthPath": "/healthz", "maxConnections": 370, "engine": map[string]any{"stride": 7}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

func awaitReady(processes []*vmProcess, wait time.Duration) bool {
	until := time.Now().Add(wait)
	for _, v := range processes {
		for {
			if o := attempt("GET", v.ready(), "/readyz", "", "", nil, time.Second); o.err == nil && o.status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
