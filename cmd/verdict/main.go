// Command verdict reads the output of go test -json and prints failures and a summary. It exits with 1 if a test failed
// that is not listed in the file of known failures, whose path is the optional argument, or if a package failed without
// a failed test.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
	Elapsed float64
}

// testKey identifies a test, or a package if test is empty.
type testKey struct {
	pkg  string
	test string
}

// report collects the results of a test run.
type report struct {
	// output holds the lines printed by each test and package, up to maxOutputLines.
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
	r := readEvents(os.Stdin)
	os.Exit(r.print(known))
}

// readKnown returns the names of the tests listed in the file of known failures, which are on lines that begin with
// "Test: ". A missing file lists none.
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

// readEvents reads events until the end of the input. Lines that are not JSON are printed unchanged.
func readEvents(input io.Reader) *report {
	r := &report{
		output: map[testKey][]string{},
	}
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.add(e)
	}
	return r
}

func (r *report) add(e event) {
	key := testKey{
		pkg:  e.Package,
		test: e.Test,
	}
	switch e.Action {
	case "output", "build-output":
		if len(r.output[key]) < maxOutputLines {
			r.output[key] = append(r.output[key], e.Output)
		}
	case "pass":
		if e.Test == "" {
			fmt.Printf("ok   %s %.1fs\n", e.Package, e.Elapsed)
			return
		}
		r.passed++
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.failed = append(r.failed, key)
	}
}

// print prints the failures and the summary and returns the exit code.
func (r *report) print(known map[string]bool) int {
	newFailures := map[string]int{}
	knownFailures := map[string]int{}
	failedTests := 0
	for _, key := range r.failed {
		if key.test == "" {
			continue
		}
		failedTests++
		if known[key.test] {
			// A known failure is printed, but does not make the run fail.
			knownFailures[key.pkg]++
			fmt.Printf("KNOWN RED %s %s\n", key.pkg, key.test)
			continue
		}
		newFailures[key.pkg]++
		fmt.Printf("FAIL %s %s\n%s", key.pkg, key.test, strings.Join(r.output[key], ""))
	}
	code := 0
	for _, key := range r.failed {
		if key.test == "" && (newFailures[key.pkg] > 0 || knownFailures[key.pkg] == 0) {
			code = 1
			fmt.Printf("FAIL %s\n%s", key.pkg, strings.Join(r.output[key], ""))
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, failedTests, r.skipped)
	if code == 0 && len(newFailures) > 0 {
		code = 1
	}
	return code
}
