package settings_test

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/settings"
)

// valid is a valid settings file. Each test case changes one part of it.
const valid = `{
  // one file for the three processes of a VM
  "VM": {
    "Name": "vm-1",
    "Address": "10.0.0.11",
    "Region": "bayern-sued",
    "FailureDomain": "garmisch",
  },
  "Platform": {
    "TableURL": "http://10.0.0.1:7000",
    "ObjectsURL": "http://10.0.0.1:7000",
    "VMListURL": "http://10.0.0.1:7000/vms",
  },
  "Peers": {
    "SecretFile": "secret",
    "OperatorTokenFile": "token",
  },
  "Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},
}`

func TestParseReportsEveryFault(t *testing.T) {
	cases := map[string]struct {
		old  string
		new  string
		want []string
	}{
		"nothing wrong": {},
		"unknown field": {
			old:  `"Region": "bayern-sued",`,
			new:  `"Region": "bayern-sued", "Zone": "a",`,
			want: []string{`vm.jsonc:6: VM.Zone: is not a known field; want one of Name, Address, Region, FailureDomain`},
		},
		"field in another case": {
			old:  `"FailureDomain": "garmisch",`,
			new:  `"failureDomain": "garmisch",`,
			want: []string{`vm.jsonc:7: VM.failureDomain: is not a known field; want one of Name, Address, Region, FailureDomain`},
		},
		"missing field": {
			old:  `"Name": "vm-1",`,
			want: []string{`vm.jsonc:3: VM.Name: is missing; want a value`},
		},
		"wrong type": {
			old:  `"Name": "vm-1",`,
			new:  `"Name": 1,`,
			want: []string{`vm.jsonc:4: VM.Name: has the wrong type; want a string`},
		},
		"null": {
			old:  `"Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},`,
			new:  `"Log": {"Level": null},`,
			want: []string{`vm.jsonc:18: Log.Level: is null; want a string`},
		},
		"list in place of an object": {
			old:  `"Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},`,
			new:  `"Timing": [],`,
			want: []string{`vm.jsonc:18: Timing: has the wrong type; want an object`},
		},
		"host name for an IP number": {
			old:  `"10.0.0.11"`,
			new:  `"vm-1.example"`,
			want: []string{`vm.jsonc:5: VM.Address: has the value vm-1.example; want an IP number, not a host name`},
		},
		"address that no peer can reach": {
			old:  `"10.0.0.11"`,
			new:  `"0.0.0.0"`,
			want: []string{`vm.jsonc:5: VM.Address: has the value 0.0.0.0; want the IP address by which peers reach this VM`},
		},
		"duration without a unit": {
			old:  `"500ms"`,
			new:  `"500"`,
			want: []string{`vm.jsonc:18: Timing.Heartbeat: has the value "500"; want a positive duration such as "1.5s"`},
		},
		"duration as a number": {
			old:  `"500ms"`,
			new:  `500`,
			want: []string{`vm.jsonc:18: Timing.Heartbeat: has the wrong type; want a string`},
		},
		"negative duration": {
			old:  `"500ms"`,
			new:  `"-500ms"`,
			want: []string{`vm.jsonc:18: Timing.Heartbeat: has the value "-500ms"; want a positive duration such as "1.5s"`},
		},
		"heartbeat longer than the session's term": {
			old:  `"500ms"`,
			new:  `"7s"`,
			want: []string{`vm.jsonc:18: Timing.Heartbeat: has the value 7s; want at most 1.5s, a quarter of SessionTerm`},
		},
		"poll slower than the limit": {
			old:  `"SessionTerm": "6s"`,
			new:  `"DocumentPoll": "1m"`,
			want: []string{`vm.jsonc:18: Timing.DocumentPoll: has the value 1m0s; want at most 4s`},
		},
		"duplicate field": {
			old:  `"Region": "bayern-sued",`,
			new:  "\"Region\": \"bayern-sued\",\n\"Region\": \"addis\",",
			want: []string{`vm.jsonc:7: VM.Region: is given twice; want it once`},
		},
		"port twice": {
			old:  `"Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},`,
			new:  `"Ports": {"Operator": 8080},`,
			want: []string{`vm.jsonc:18: Ports.Operator: has the value 8080, which Ports.Caller has; want a port of its own`},
		},
		"port out of range": {
			old:  `"Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},`,
			new:  `"Ports": {"Operator": 70000},`,
			want: []string{`vm.jsonc:18: Ports.Operator: has the value 70000; want at most 65535`},
		},
		"certificate without a key": {
			old: `"Timing": {"Heartbeat": "500ms", "SessionTerm": "6s"},`,
			new: `"TLS": {"Caller": {"CertificateFile": "a.pem"}, "Operator": {"KeyFile": "b.pem"}},`,
			want: []string{
				`vm.jsonc:18: TLS.Caller.KeyFile: is missing; want a value, as TLS.Caller.CertificateFile has one`,
				`vm.jsonc:18: TLS.Operator.CertificateFile: is missing; want a value, as TLS.Operator.KeyFile has one`,
			},
		},
		"syntax error": {
			old:  `"VM": {`,
			new:  `"VM" {`,
			want: []string{`vm.jsonc:3: (file): line 3, column 8: invalid character '{' after object name; want JSON with comments`},
		},
		"several at once": {
			old: `"Name": "vm-1",
    "Address": "10.0.0.11",`,
			new: `"NameOf": "vm-1",
    "Address": 7,`,
			want: []string{
				`vm.jsonc:3: VM.Name: is missing; want a value`,
				`vm.jsonc:4: VM.NameOf: is not a known field; want one of Name, Address, Region, FailureDomain`,
				`vm.jsonc:5: VM.Address: has the wrong type; want a string`,
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			text := valid
			if tt.old != "" {
				assert.Assert(t, strings.Contains(text, tt.old))
				text = strings.Replace(text, tt.old, tt.new, 1)
			}
			_, err := settings.Parse("vm.jsonc", []byte(text))
			if len(tt.want) == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, strings.Join(tt.want, "\n"))
		})
	}
}

// TestEveryFieldIsDocumented looks for the name of each field in SETTINGS.md.
func TestEveryFieldIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	sections := reflect.TypeFor[settings.Settings]()
	for i := range sections.NumField() {
		section := sections.Field(i)
		for k := range section.Type.NumField() {
			field := section.Type.Field(k).Name
			found := strings.Contains(string(page), "`"+section.Name+"."+field+"`") || strings.Contains(string(page), ", `"+field+"`")
			assert.Assert(t, found, "%s.%s", section.Name, field)
		}
	}
}

// FuzzParse looks for input on which the parser breaks, and for settings that change when they are written and read
// again.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	for _, seed := range []string{"", "{}", "[]", "null", `{"VM":null}`, `{"VM":{"Name":{}}}`, `{"Ports":{"Caller":1e9}}`, "{/*", `{"a~/b":1}`, "{\"\xff\":1}"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := settings.Parse("fuzz", []byte(text))
		if err != nil {
			assert.Assert(t, strings.HasPrefix(err.Error(), "fuzz:"), "%v", err)
			return
		}
		written, err := json.Marshal(parsed)
		assert.NilError(t, err)
		again, err := settings.Parse("fuzz", written)
		assert.NilError(t, err)
		assert.DeepEqual(t, parsed, again)
	})
}
