// Package jsonc decodes JSON with comments strictly and reports every fault with its line.
package jsonc

import (
	"cmp"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File  string
	Line  int
	Field string
	Wrong string
	Want  string
}

// Faults is every fault of a file.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the fault as file, line, field, what is wrong and what is expected.
func (f Fault) String() string {
	line := fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Wrong)
	if f.Want != "" {
		line += "; want " + f.Want
	}
	return line
}

// FieldFault is one thing wrong with a field, named by its path.
type FieldFault struct {
	Field string
	Wrong string
	Want  string
}

// Checker is a target that checks how its fields relate.
type Checker interface {
	Check() []FieldFault
}

// Decode decodes data into target, a pointer to a struct, and returns every fault; name stands for the file.
func Decode(name string, data []byte, target any) Faults {
	root, err := hujson.Parse(data)
	if err != nil {
		return Faults{
			{
				File:  name,
				Line:  syntaxLine(err),
				Field: rootField,
				Wrong: strings.TrimPrefix(err.Error(), "hujson: "),
				Want:  "JSON with comments",
			},
		}
	}
	d := &decoder{
		file:   name,
		data:   data,
		faulty: map[string]bool{},
	}
	d.value("", &root, reflect.ValueOf(target).Elem())
	d.validate(&root, target)
	d.check(&root, target)
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return d.faults
}

func syntaxLine(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &line, &column)
	}
	return line
}

type decoder struct {
	file   string
	data   []byte
	faults Faults
	// faulty holds the paths of the faults, which are not validated again.
	faulty map[string]bool
}

// rootField names the file as a whole.
const rootField = "(file)"

func (d *decoder) fault(field string, value *hujson.Value, wrong, want string) {
	d.faulty[field] = true
	if field == "" {
		field = rootField
	}
	line := 1 + strings.Count(string(d.data[:min(value.StartOffset, len(d.data))]), "\n")
	d.faults = append(d.faults, Fault{
		File:  d.file,
		Line:  line,
		Field: field,
		Wrong: wrong,
		Want:  want,
	})
}

func (d *decoder) value(field string, value *hujson.Value, target reflect.Value) {
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.leaf(field, value, target)
		return
	}
	object, isObject := value.Value.(*hujson.Object)
	switch target.Kind() {
	case reflect.Struct:
		if !isObject {
			d.fault(field, value, "has the wrong type", "an object")
			return
		}
		d.object(field, object, target)
	case reflect.Map:
		if !isObject {
			d.fault(field, value, "has the wrong type", "an object")
			return
		}
		d.entries(field, object, target)
	default:
		d.leaf(field, value, target)
	}
}

func (d *decoder) object(field string, object *hujson.Object, target reflect.Value) {
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		path := join(field, name)
		if seen[name] {
			d.fault(path, &member.Name, "is given twice", "it once")
			continue
		}
		seen[name] = true
		known, ok := target.Type().FieldByName(name)
		if !ok || !known.IsExported() {
			d.fault(path, &member.Name, "is not a known field", "one of "+fieldNames(target.Type()))
			continue
		}
		d.value(path, &member.Value, target.FieldByName(name))
	}
}

func (d *decoder) entries(field string, object *hujson.Object, target reflect.Value) {
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		entry := reflect.New(target.Type().Elem()).Elem()
		path := field + "[" + name + "]"
		if seen[name] {
			d.fault(path, &member.Name, "is given twice", "it once")
			continue
		}
		seen[name] = true
		d.value(path, &member.Value, entry)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), entry)
	}
}

func (d *decoder) leaf(field string, value *hujson.Value, target reflect.Value) {
	literal, isLiteral := value.Value.(hujson.Literal)
	if isLiteral && literal.Kind() == 'n' && target.Kind() != reflect.Slice {
		d.fault(field, value, "is null", typeName(target.Type()))
		return
	}
	standard := value.Clone()
	standard.Standardize()
	err := json.Unmarshal(standard.Pack(), target.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		d.fault(field, value, "has the wrong type", typeName(target.Type()))
		return
	}
	_, want, found := strings.Cut(err.Error(), "want ")
	if !found {
		want = err.Error()
	}
	d.fault(field, value, "has the value "+strings.TrimSpace(value.String()), want)
}

// structs checks the tags of fields; it keeps what it learnt of each type.
var structs = validator.New()

func (d *decoder) validate(root *hujson.Value, target any) {
	err := structs.Struct(target)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return
	}
	for _, wrong := range invalid {
		_, path, _ := strings.Cut(wrong.StructNamespace(), ".")
		said := fmt.Sprintf("has the value %v", wrong.Value())
		if root.Find(pointer(path)) == nil {
			said = "is missing"
		}
		d.wrong(root, FieldFault{
			Field: path,
			Wrong: said,
			Want:  expectation(wrong),
		})
	}
}

// check reports what the target itself finds wrong with how its fields relate.
func (d *decoder) check(root *hujson.Value, target any) {
	checker, ok := target.(Checker)
	if !ok {
		return
	}
	for _, wrong := range checker.Check() {
		d.wrong(root, wrong)
	}
}

// wrong reports a fault at its field, or at the nearest part of the file that would hold the field.
func (d *decoder) wrong(root *hujson.Value, wrong FieldFault) {
	if d.reported(wrong.Field) {
		return
	}
	at := pointer(wrong.Field)
	where := root.Find(at)
	for where == nil {
		at = at[:strings.LastIndexByte(at, '/')]
		where = root.Find(at)
	}
	d.fault(wrong.Field, where, wrong.Wrong, wrong.Want)
}

// reported reports whether the path, or a part that holds it, has a fault already.
func (d *decoder) reported(path string) bool {
	for faulty := range d.faulty {
		if faulty == "" || pointer(path) == pointer(faulty) || strings.HasPrefix(pointer(path), pointer(faulty)+"/") {
			return true
		}
	}
	return false
}

func expectation(wrong validator.FieldError) string {
	switch wrong.Tag() {
	case "required":
		return "a value"
	case "ip":
		return "an IP number, not a host name"
	case "url":
		return "a URL"
	case "oneof":
		return "one of " + wrong.Param()
	case "min", "gte":
		return "at least " + wrong.Param()
	case "ltfield":
		return "less than " + wrong.Param()
	case "max", "lte":
		return "at most " + wrong.Param()
	case "gt":
		return "more than " + wrong.Param()
	}
	return strings.TrimSpace(wrong.Tag() + " " + wrong.Param())
}

// pointer turns a path such as Entries[beacon-7.1].Slots into a JSON pointer; a name in brackets is one part.
func pointer(path string) string {
	var into strings.Builder
	inName := false
	into.WriteByte('/')
	for _, r := range path {
		switch {
		case r == '[' && !inName:
			inName = true
			into.WriteByte('/')
		case r == ']' && inName:
			inName = false
		case r == '.' && !inName:
			into.WriteByte('/')
		case r == '~':
			into.WriteString("~0")
		case r == '/':
			into.WriteString("~1")
		default:
			into.WriteRune(r)
		}
	}
	return into.String()
}

func memberName(member *hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return strings.Join(names, ", ")
}

func typeName(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "a string"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return t.String()
	}
}
