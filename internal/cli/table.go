package cli

import (
	"io"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// printTables prints each list of objects in a JSON object as a table, and every other field on a line of its own.
// A JSON list is printed as one table.
func printTables(out io.Writer, response []byte) {
	root := gjson.ParseBytes(response)
	if root.IsArray() {
		printTable(out, root)
		return
	}
	root.ForEach(func(name, value gjson.Result) bool {
		if !value.IsArray() || !value.Get("0").IsObject() {
			printf(out, "%s: %s\n", name, formatValue(value))
			return true
		}
		printf(out, "%s:\n", name)
		printTable(out, value)
		return true
	})
}

// printTable prints a list of objects as a table. Its columns are the fields of the first object.
func printTable(out io.Writer, list gjson.Result) {
	var header []string
	list.Get("0").ForEach(func(name, _ gjson.Result) bool {
		header = append(header, name.String())
		return true
	})
	printf(out, "%s\n", strings.ToUpper(strings.Join(header, "\t")))
	list.ForEach(func(_, row gjson.Result) bool {
		cells := make([]string, 0, len(header))
		for _, name := range header {
			cells = append(cells, formatValue(row.Get(gjson.Escape(name))))
		}
		printf(out, "%s\n", strings.Join(cells, "\t"))
		return true
	})
}

// formatFields formats an object's fields as key=value pairs.
func formatFields(object gjson.Result) string {
	var pairs []string
	object.ForEach(func(name, value gjson.Result) bool {
		pairs = append(pairs, name.String()+"="+formatValue(value))
		return true
	})
	return strings.Join(pairs, " ")
}

// formatValue formats a JSON value for people to read. An object with the fields VM and Role describes a process, which
// is printed as role/VM.
func formatValue(value gjson.Result) string {
	if value.Type == gjson.Number && strings.Contains(value.Raw, ".") {
		return strconv.FormatFloat(value.Num, 'f', 3, 64)
	}
	switch {
	case value.Type == gjson.Null:
		return "none"
	case value.Get("VM").Exists() && value.Get("Role").Exists():
		return value.Get("Role").String() + "/" + value.Get("VM").String()
	case value.IsObject():
		return formatFields(value)
	case !value.IsArray():
		return value.String()
	}
	parts := make([]string, 0, len(value.Array()))
	for _, part := range value.Array() {
		parts = append(parts, formatValue(part))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
