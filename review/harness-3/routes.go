package main

// tokenCap is that of the deployment wenber-seating.
const tokenCap = 2400000

// deploymentRoutes returns a route for streams and one for batch jobs.
func deploymentRoutes() []map[string]any {
	return []map[string]any{
		{
			"name": "r-online", "host": callerHost, "pathPrefix": "/lohu930/", "kind": "stream", "service": "model", "timeoutMs": 5000,
			"targetLatencyMs": 300, "priority": 0, "maxAttempts": 2, "stickySessions": true, "resumable": true, "gapAimMs": 250,
		},
		{
			"name": "r-lots", "host": callerHost, "pathPrefix": "/pule252/", "kind": "batch", "service": "model", "timeoutMs": 15000,
			"targetLatencyMs": 400, "priority": 2, "maxAttempts": 3, "stickySessions": true, "resumable": true, "gapAimMs": 250,
			"completionWindowMs": 18000, "queueTtlS": 90, "cap": tokenCap,
		},
	}
}
