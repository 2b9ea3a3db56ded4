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
	// unfinished holds the tests that have started and not ended.
	unfinished map[testKey]bool
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
	r, err := readEvents(os.Stdin)
	if err != nil {
		fmt.Println("input not read to its end:", err)
		os.Exit(1)
	}
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
func readEvents(input io.Reader) (*report, error) {
	r := &report{
		output:     map[testKey][]string{},
		unfinished: map[testKey]bool{},
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
	return r, scanner.Err()
}

func (r *report) add(e event) {
	key := testKey{
		pkg:  e.Package,
		test: e.Test,
	}
	switch e.Action {
	case "run":
		r.unfinished[key] = true
	case "pass", "skip", "fail":
		delete(r.unfinished, key)
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

// crashed reports whether a package failed by itself, and not only because of its failed tests: a test did not end, or
// the process of the tests ended abnormally.
func (r *report) crashed(pkg string) bool {
	for key := range r.unfinished {
		if key.pkg == pkg {
			return true
		}
	}
	for _, line := range r.output[testKey{pkg: pkg}] {
		for _, sign := range []string{"panic: ", "fatal error: ", "signal: ", "WARNING: DATA RACE"} {
			if strings.HasPrefix(line, sign) {
				return true
			}
		}
		if strings.HasPrefix(line, "exit status ") && strings.TrimSpace(line) != "exit status 1" {
			return true
		}
	}
	return false
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
		if key.test == "" && (newFailures[key.pkg] > 0 || knownFailures[key.pkg] == 0 || r.crashed(key.pkg)) {
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
