package cli_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/cli"
)

// TestExitCodes checks the exit code for each kind of error, and the text that is printed with it.
func TestExitCodes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/document/Models":
			_, _ = w.Write([]byte(`{"Name":"Models","Version":3,"Entries":{}}`))
		case "/document/Down":
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"Code":"Unavailable","Message":"not accepted"}`))
		case "/document/Broken":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"Code":"WrongToken","Message":"the token is missing or wrong"}`))
		}
	}))
	defer server.Close()
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	assert.NilError(t, os.WriteFile(token, []byte("token\n"), 0o600))
	faultyFile := filepath.Join(dir, "models.jsonc")
	assert.NilError(t, os.WriteFile(faultyFile, []byte("{\"Name\":\"Models\",\n\"Entries\":{\"beacon-7.1\":\n{\"Version\":\"1\",\n\"WeightBytes\":-1}}}"), 0o600))
	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"done": {
			args: []string{"document", "get", "Models"},
			want: `"Version": 3`,
		},
		"failed": {
			args: []string{"document", "get", "Broken"},
			code: 1,
		},
		"unknown command": {
			args: []string{"documents"},
			code: 2,
		},
		"unknown command of a group": {
			args: []string{"document", "git"},
			code: 2,
		},
		"missing argument": {
			args: []string{"document", "get"},
			code: 2,
		},
		"unknown flag": {
			args: []string{"document", "get", "Models", "--loud"},
			code: 2,
		},
		"unknown output format": {
			args: []string{"document", "history", "--output", "xml", "--controller", server.URL + "/document/Models?"},
			code: 2,
		},
		"fault in a file": {
			args: []string{"check", faultyFile},
			code: 2,
			want: "models.jsonc:4: Entries[beacon-7.1].WeightBytes: has the value -1; want at least 0",
		},
		"refused": {
			args: []string{"explain", "batch_1"},
			code: 3,
			want: "WrongToken",
		},
		"unavailable": {
			args: []string{"document", "get", "Down"},
			code: 4,
		},
		"unreachable": {
			args: []string{"document", "get", "Models", "--controller", "http://127.119.0.1:1"},
			code: 4,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := tt.args
			if args[0] != "check" && args[0] != "documents" && !strings.Contains(strings.Join(args, " "), "--controller") && tt.code != 2 {
				args = append(args, "--controller", server.URL)
			}
			if args[0] != "check" && tt.code != 2 {
				args = append(args, "--token-file", token)
			}
			code := cli.Run(context.Background(), args, &out, &errOut)
			assert.Equal(t, code, tt.code, "%s", errOut.String())
			assert.Assert(t, strings.Contains(out.String()+errOut.String(), tt.want), "%s%s", out.String(), errOut.String())
		})
	}
}
