package main

// recordRuns writes into the record how often items of each lot were run, and how the processes ended.
func recordRuns(w *world, accepted []string) {
	runs := map[string]map[string]int{}
	for _, m := range w.servers {
		m.mu.Lock()
		for _, run := range m.runs {
			lot := run.id[:len(run.id)-2]
			if runs[lot] == nil {
				runs[lot] = map[string]int{}
			}
			runs[lot][run.status]++
		}
		m.mu.Unlock()
	}
	for _, id := range accepted {
		w.detail("lot %s: runs at the servers: %v", id, runs[id])
	}
	for _, v := range w.vms {
		for _, end := range v.ends {
			w.detail("%s: a process ended at %.3f: %s, peak %d MB", v.name, end.at.Sub(w.started).Seconds(), end.cause, end.peak>>20)
		}
	}
}
