package test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
)

// TestRefusalIsExplained checks that a controller reports why another VM's gateway refused a request.
func TestRefusalIsExplained(t *testing.T) {
	t.Parallel()
	options := defaultCluster(125)
	options.vms = 2
	options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleController}
	c := newCluster(t, options)
	response, _, err := c.post(t.Context(), 1, "/v1/chat/completions", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	var answer struct {
		Notes []explain.Note
	}
	status, err := c.operator(testToken).do(0, http.MethodGet, "/explain/"+response.Header.Get("X-Request-Id"), nil, "", &answer)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	explained := slices.ContainsFunc(answer.Notes, func(note explain.Note) bool {
		return strings.HasPrefix(note.Decision, "refused") && strings.Contains(note.By, "vm-1")
	})
	assert.Assert(t, explained, "%+v", answer.Notes)
}
