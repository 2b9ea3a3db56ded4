//go:build tools

// Package tools keeps declared libraries that code under way will use.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/aws/aws-sdk-go-v2/aws/signer/v4"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/dustin/go-humanize"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/schollz/progressbar/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/singleflight"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
