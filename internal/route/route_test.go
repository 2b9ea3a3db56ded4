package route

import (
	"context"
	"log/slog"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatch(t *testing.T) {
	c := &Config{
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/"},
			{Name: "long", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "i", Prefix: "/a/b/c/"},
		},
	}
	tests := map[string]struct {
		host string
		path string
		want Name
	}{
		"longest prefix":                    {host: "h", path: "/a/b/c", want: "long"},
		"shorter prefix":                    {host: "h", path: "/a/c", want: "short"},
		"another host":                      {host: "i", path: "/a/b/c/d", want: "other"},
		"prefix ends inside a path segment": {host: "h", path: "/ab"},
		"unknown host":                      {host: "j", path: "/a/"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := c.Match(test.host, test.path)
			if test.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, got.Name, test.want)
		})
	}
}

func TestPickFollowsShares(t *testing.T) {
	r := &Route{
		Shares: []Share{
			{Service: "a", Weight: 90},
			{Service: "b", Weight: 10},
			{Service: "c", Weight: 0},
		},
	}
	count := map[Service]int{}
	for n := range 10_000 {
		count[r.Pick(strconv.Itoa(n))]++
	}
	assert.Equal(t, count["c"], 0)
	assert.Assert(t, count["b"] > 800 && count["b"] < 1200, "%v", count)
	assert.Equal(t, (&Route{}).Pick("x"), Service(""))
}

// TestViewMovesForward checks that a view ignores a configuration that is not newer than its own.
func TestViewMovesForward(t *testing.T) {
	v := NewView(slog.New(slog.DiscardHandler))
	assert.Assert(t, v.Current() == nil)
	assert.Assert(t, v.Apply(&Config{Version: 5}))
	assert.Assert(t, !v.Apply(&Config{Version: 3}))
	assert.Assert(t, !v.Apply(&Config{Version: 5}))
	assert.Assert(t, v.Apply(&Config{Version: 9}))
	assert.Equal(t, v.Current().Version, Version(9))
}

// TestWatch checks that a wait ends when a configuration in force does not fit, also one that was applied just before.
func TestWatch(t *testing.T) {
	fits := func(c *Config) bool {
		return c.Version != 5
	}
	tests := map[string]struct {
		before []Version
		after  []Version
		want   error
	}{
		"no configuration":         {},
		"one that fits":            {before: []Version{1}, after: []Version{2, 9}},
		"one that does not":        {before: []Version{1}, after: []Version{5}, want: ErrMoved},
		"applied before":           {before: []Version{1, 5}, want: ErrMoved},
		"replaced before":          {before: []Version{5, 6}},
		"replaced after":           {before: []Version{1}, after: []Version{5, 6}, want: ErrMoved},
		"an older one comes later": {before: []Version{6}, after: []Version{5}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView(slog.New(slog.DiscardHandler))
			for _, version := range test.before {
				v.Apply(&Config{Version: version})
			}
			ctx, release := v.Watch(context.Background(), fits)
			for _, version := range test.after {
				v.Apply(&Config{Version: version})
			}
			assert.Equal(t, context.Cause(ctx), test.want)
			release()
			assert.Equal(t, len(v.watches), 0)
		})
	}
}
