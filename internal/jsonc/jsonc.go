// Package jsonc strictly decodes JSON with comments, validates it and reports every fault with its line.
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

// Fault is one error in a file.
type Fault struct {
	File  string
	Line  int
	Field string
	// Wrong says what is wrong, such as "is missing".
	Wrong string
	// Want says what is expected, or is empty.
	Want string
}

// Faults lists every fault in a file.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// String formats the fault as file, line, field, what is wrong and what is expected.
func (f Fault) String() string {
	line := fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Wrong)
	if f.Want != "" {
		line += "; want " + f.Want
	}
	return line
}

// FieldFault is one error in a field. Field is the field's path; Wrong and Want are those of Fault.
type FieldFault struct {
	Field string
	Wrong string
	Want  string
}

// Checker is implemented by targets that check the relations between their fields.
type Checker interface {
	// Check returns the faults found.
	Check() []FieldFault
}

// Decode decodes data into target, a pointer to a struct, and returns every fault in it. The faults contain
// name as the name of the file.
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
		file:       name,
		data:       data,
		faultPaths: map[string]bool{},
	}
	d.decodeValue("", &root, reflect.ValueOf(target).Elem())
	d.validateTags(&root, target)
	d.runChecker(&root, target)
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		return cmp.Compare(a.Line, b.Line)
	})
	return d.faults
}

// syntaxLine returns the line that a hujson syntax error names, or 0.
func syntaxLine(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &line, &column)
	}
	return line
}

// decoder decodes one file and collects its faults.
type decoder struct {
	file   string
	data   []byte
	faults Faults
	// faultPaths holds the paths of the faults found so far. Faults that the validation of tags or a Checker finds at or
	// below them are dropped.
	faultPaths map[string]bool
}

// rootField stands for the file as a whole in place of a field's path.
const rootField = "(file)"

func (d *decoder) addFault(field string, value *hujson.Value, wrong, want string) {
	d.faultPaths[field] = true
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

func (d *decoder) decodeValue(field string, value *hujson.Value, target reflect.Value) {
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeScalar(field, value, target)
		return
	}
	object, isObject := value.Value.(*hujson.Object)
	switch target.Kind() {
	case reflect.Struct:
		if !isObject {
			d.addFault(field, value, "has the wrong type", "an object")
			return
		}
		d.decodeObject(field, object, target)
	case reflect.Map:
		if !isObject {
			d.addFault(field, value, "has the wrong type", "an object")
			return
		}
		d.decodeMap(field, object, target)
	default:
		d.decodeScalar(field, value, target)
	}
}

func (d *decoder) decodeObject(field string, object *hujson.Object, target reflect.Value) {
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member)
		path := joinPath(field, name)
		if seen[name] {
			d.addFault(path, &member.Name, "is given twice", "it once")
			continue
		}
		seen[name] = true
		structField, ok := target.Type().FieldByName(name)
		if !ok || !structField.IsExported() {
			d.addFault(path, &member.Name, "is not a known field", "one of "+fieldNames(target.Type()))
			continue
		}
		d.decodeValue(path, &member.Value, target.FieldByName(name))
	}
}

func (d *decoder) decodeMap(field string, object *hujson.Object, target reflect.Value) {
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
			d.addFault(path, &member.Name, "is given twice", "it once")
			continue
		}
		seen[name] = true
		d.decodeValue(path, &member.Value, entry)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), entry)
	}
}

// decodeScalar decodes a scalar or a list with encoding/json. For an error other than a type mismatch, the reported
// expectation is the part of the error's text after "want ", or the whole text if it does not contain "want ".
func (d *decoder) decodeScalar(field string, value *hujson.Value, target reflect.Value) {
	literal, isLiteral := value.Value.(hujson.Literal)
	// Null is accepted only for slices, that is, for lists, where it gives an empty one, and for raw JSON.
	if isLiteral && literal.Kind() == 'n' && target.Kind() != reflect.Slice {
		d.addFault(field, value, "is null", typeName(target.Type()))
		return
	}
	plainJSON := value.Clone()
	plainJSON.Standardize()
	err := json.Unmarshal(plainJSON.Pack(), target.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		d.addFault(field, value, "has the wrong type", typeName(target.Type()))
		return
	}
	_, want, found := strings.Cut(err.Error(), "want ")
	if !found {
		want = err.Error()
	}
	d.addFault(field, value, "has the value "+strings.TrimSpace(value.String()), want)
}

// tagValidator validates struct tags. It is shared because it caches its analysis of each type.
var tagValidator = validator.New()

// validateTags adds the faults that the validation tags of the target's fields reveal.
func (d *decoder) validateTags(root *hujson.Value, target any) {
	err := tagValidator.Struct(target)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return
	}
	for _, fieldErr := range invalid {
		_, path, _ := strings.Cut(fieldErr.StructNamespace(), ".")
		problem := fmt.Sprintf("has the value %v", fieldErr.Value())
		if root.Find(jsonPointer(path)) == nil {
			problem = "is missing"
		}
		d.addFieldFault(root, FieldFault{
			Field: path,
			Wrong: problem,
			Want:  expectation(fieldErr),
		})
	}
}

// runChecker adds the faults that the target finds itself, if it is a Checker.
func (d *decoder) runChecker(root *hujson.Value, target any) {
	checker, ok := target.(Checker)
	if !ok {
		return
	}
	for _, fault := range checker.Check() {
		d.addFieldFault(root, fault)
	}
}

// addFieldFault adds the fault at the line of its field. If the file lacks the field, it uses the line of the nearest
// enclosing value. It drops the fault if the field or an enclosing value has one already.
func (d *decoder) addFieldFault(root *hujson.Value, fault FieldFault) {
	if d.hasFault(fault.Field) {
		return
	}
	pointer := jsonPointer(fault.Field)
	value := root.Find(pointer)
	for value == nil {
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
		value = root.Find(pointer)
	}
	d.addFault(fault.Field, value, fault.Wrong, fault.Want)
}

// hasFault reports whether the path, or a value that encloses it, has a fault already.
func (d *decoder) hasFault(path string) bool {
	for faultPath := range d.faultPaths {
		if faultPath == "" || jsonPointer(path) == jsonPointer(faultPath) || strings.HasPrefix(jsonPointer(path), jsonPointer(faultPath)+"/") {
			return true
		}
	}
	return false
}

// expectation describes the value that the failed validation tag demands.
func expectation(fieldErr validator.FieldError) string {
	switch fieldErr.Tag() {
	case "required":
		return "a value"
	case "ip":
		return "an IP number, not a host name"
	case "url":
		return "a URL"
	case "oneof":
		return "one of " + fieldErr.Param()
	case "min", "gte":
		return "at least " + fieldErr.Param()
	case "ltfield":
		return "less than " + fieldErr.Param()
	case "max", "lte":
		return "at most " + fieldErr.Param()
	case "gt":
		return "more than " + fieldErr.Param()
	}
	return strings.TrimSpace(fieldErr.Tag() + " " + fieldErr.Param())
}

// jsonPointer converts a path such as Entries[beacon-7.1].Slots to a JSON pointer. A name in brackets is one reference
// token, even if it contains dots.
func jsonPointer(path string) string {
	var out strings.Builder
	inName := false
	out.WriteByte('/')
	for _, r := range path {
		switch {
		case r == '[' && !inName:
			inName = true
			out.WriteByte('/')
		case r == ']' && inName:
			inName = false
		case r == '.' && !inName:
			out.WriteByte('/')
		case r == '~':
			out.WriteString("~0")
		case r == '/':
			out.WriteString("~1")
		default:
			out.WriteRune(r)
		}
	}
	return out.String()
}

func memberName(member *hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func joinPath(field, name string) string {
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

// typeName describes the values that a type is decoded from.
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
