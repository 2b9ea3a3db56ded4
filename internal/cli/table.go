package cli

import (
	"io"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// printTables prints an object's lists of objects as tables, and its other fields a line each.
func printTables(out io.Writer, answer []byte) {
	root := gjson.ParseBytes(answer)
	if root.IsArray() {
		printTable(out, root)
		return
	}
	root.ForEach(func(name, value gjson.Result) bool {
		if !value.IsArray() || !value.Get("0").IsObject() {
			say(out, "%s: %s\n", name, plain(value))
			return true
		}
		say(out, "%s:\n", name)
		printTable(out, value)
		return true
	})
}

// printTable prints a list of objects; the first one's fields make the head.
func printTable(out io.Writer, list gjson.Result) {
	var head []string
	list.Get("0").ForEach(func(name, _ gjson.Result) bool {
		head = append(head, name.String())
		return true
	})
	say(out, "%s\n", strings.ToUpper(strings.Join(head, "\t")))
	list.ForEach(func(_, row gjson.Result) bool {
		cells := make([]string, 0, len(head))
		for _, name := range head {
			cells = append(cells, plain(row.Get(gjson.Escape(name))))
		}
		say(out, "%s\n", strings.Join(cells, "\t"))
		return true
	})
}

// fields returns an object's fields as key=value pairs.
func fields(object gjson.Result) string {
	var pairs []string
	object.ForEach(func(name, value gjson.Result) bool {
		pairs = append(pairs, name.String()+"="+plain(value))
		return true
	})
	return strings.Join(pairs, " ")
}

// plain returns a value as a person reads it.
func plain(value gjson.Result) string {
	if value.Type == gjson.Number && strings.Contains(value.Raw, ".") {
		return strconv.FormatFloat(value.Num, 'f', 3, 64)
	}
	switch {
	case value.Type == gjson.Null:
		return "none"
	case value.Get("VM").Exists() && value.Get("Role").Exists():
		return value.Get("Role").String() + "/" + value.Get("VM").String()
	case value.IsObject():
		return fields(value)
	case !value.IsArray():
		return value.String()
	}
	parts := make([]string, 0, len(value.Array()))
	for _, part := range value.Array() {
		parts = append(parts, plain(part))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
