package cli

import (
	"io"
	"os"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

// progress shows a progress bar if standard error is a terminal, and does nothing otherwise.
type progress struct {
	bar *progressbar.ProgressBar
}

// newProgress returns the progress of work whose size is total: a number of bytes if bytes is set, or of items.
func newProgress(cmd *cobra.Command, total int64, label string, bytes bool) *progress {
	file, ok := cmd.ErrOrStderr().(*os.File)
	if !ok || !isTerminal(file) {
		return &progress{}
	}
	return &progress{
		bar: progressbar.NewOptions64(total,
			progressbar.OptionSetDescription(label),
			progressbar.OptionSetWriter(file),
			progressbar.OptionShowBytes(bytes),
			progressbar.OptionShowCount(),
			progressbar.OptionClearOnFinish()),
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// reader returns a reader of input that advances the bar as it is read.
func (p *progress) reader(input io.Reader) io.Reader {
	if p.bar == nil {
		return input
	}
	return io.TeeReader(input, p.bar)
}

func (p *progress) set(done int64) {
	if p.bar != nil {
		_ = p.bar.Set64(done)
	}
}

func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
