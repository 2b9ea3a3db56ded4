// Command verdict reads the output of go test -json, prints failures and a summary, and exits with 1
// if a test failed that is not listed in the file of known faults given as its argument.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	Elapsed float64
}

// testKey names a test; the test is empty for a whole package.
type testKey struct {
	pkg  string
	test string
}

// report gathers the events of a run.
type report struct {
	output  map[testKey][]string
	passed  int
	skipped int
	failed  []testKey
}

const (
	maxLineBytes   = 64 << 20
	maxOutputLines = 400
)

func main() {
	known, err := readKnown(os.Args[1:])
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	found := read(os.Stdin)
	os.Exit(found.print(known))
}

// readKnown returns the names of tests listed in the file; a line that begins with "Test: " names one.
func readKnown(args []string) (map[string]bool, error) {
	known := map[string]bool{}
	if len(args) == 0 {
		return known, nil
	}
	data, err := os.ReadFile(args[0])
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "Test: "); ok {
			known[name] = true
		}
	}
	return known, nil
}

func read(from io.Reader) *report {
	found := &report{
		output: map[testKey][]string{},
	}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line event
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		found.take(line)
	}
	return found
}

func (r *report) take(line event) {
	key := testKey{
		pkg:  line.Package,
		test: line.Test,
	}
	switch line.Action {
	case "output", "build-output":
		if len(r.output[key]) < maxOutputLines {
			r.output[key] = append(r.output[key], line.Output)
		}
	case "pass":
		if line.Test == "" {
			fmt.Printf("ok   %s %.1fs\n", line.Package, line.Elapsed)
			return
		}
		r.passed++
	case "skip":
		if line.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.failed = append(r.failed, key)
	}
}

// print prints the failures and returns the exit code.
func (r *report) print(known map[string]bool) int {
	unknown := map[string]int{}
	knownIn := map[string]int{}
	failedTests := 0
	for _, key := range r.failed {
		if key.test == "" {
			continue
		}
		failedTests++
		if known[key.test] {
			knownIn[key.pkg]++
			fmt.Printf("KNOWN RED %s %s\n", key.pkg, key.test)
			continue
		}
		unknown[key.pkg]++
		fmt.Printf("FAIL %s %s\n%s", key.pkg, key.test, strings.Join(r.output[key], ""))
	}
	code := 0
	for _, key := range r.failed {
		if key.test == "" && (unknown[key.pkg] > 0 || knownIn[key.pkg] == 0) {
			code = 1
			fmt.Printf("FAIL %s\n%s", key.pkg, strings.Join(r.output[key], ""))
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, failedTests, r.skipped)
	if code == 0 && len(unknown) > 0 {
		code = 1
	}
	return code
}
