package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"rhubarbrudder/pkg/client"
)

// jobCommand holds the flags shared by the job subcommands.
type jobCommand struct {
	connection *connection
	output     *output
}

func newJob() *cobra.Command {
	j := &jobCommand{}
	group := newGroup("job", "Run batch jobs")
	j.connection = addCallerFlags(group)
	j.output = addOutputFlag(group)
	group.AddCommand(j.submit(), j.list(), j.show(), j.cancel(), j.results())
	return group
}

// jobOptions are the flags of the submit command.
type jobOptions struct {
	path   string
	window string
	due    string
	key    string
	wait   bool
}

func (j *jobCommand) submit() *cobra.Command {
	options := jobOptions{}
	command := &cobra.Command{
		Use:     "submit FILE",
		Short:   "Upload a file of items, a JSON object a line, and make a job of it",
		Long:    "Upload a file of items, a JSON object a line, and make a job of it. The same --idempotency-key finds the same job\nagain, as long as the file is not uploaded anew.\n\n" + exitCodes,
		Example: "  rhubarbrudder job submit items.jsonl --wait\n  rhubarbrudder job submit items.jsonl --due 2026-12-04T18:00:00Z",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return j.runSubmit(cmd, args[0], options)
		},
	}
	command.Flags().StringVar(&options.path, "path", "/v1/chat/completions", "path that the items name")
	command.Flags().StringVar(&options.window, "window", "24h", "time until the job is due")
	command.Flags().StringVar(&options.due, "due", "", "time the job is due, in RFC 3339; goes before --window")
	command.Flags().StringVar(&options.key, "idempotency-key", "", "name of the job (else a new one)")
	command.Flags().BoolVar(&options.wait, "wait", false, "wait until the job has ended")
	return command
}

func (j *jobCommand) runSubmit(cmd *cobra.Command, path string, options jobOptions) error {
	caller, err := j.connection.caller()
	if err != nil {
		return err
	}
	file, err := upload(cmd, caller, path)
	if err != nil {
		return err
	}
	newBatch := client.NewBatch{
		InputFileID:      file.ID,
		Endpoint:         options.path,
		CompletionWindow: options.window,
	}
	if options.due != "" {
		newBatch.Metadata = map[string]string{"due_at": options.due}
	}
	if options.key == "" {
		options.key = uuid.NewString()
	}
	batch, err := caller.Create(cmd.Context(), newBatch, options.key)
	if err != nil {
		return err
	}
	if options.wait {
		batch, err = waitForEnd(cmd, caller, batch)
		if err != nil {
			return err
		}
	}
	return j.print(cmd, batch)
}

func upload(cmd *cobra.Command, caller *client.Caller, path string) (client.File, error) {
	input, err := os.Open(path)
	if err != nil {
		return client.File{}, errors.Join(errUsage, err)
	}
	defer func() { _ = input.Close() }()
	info, err := input.Stat()
	if err != nil {
		return client.File{}, errors.Join(errUsage, err)
	}
	bar := newProgress(cmd, info.Size(), "uploading", true)
	defer bar.finish()
	return caller.Upload(cmd.Context(), filepath.Base(path), bar.reader(input))
}

// pollInterval is the time between requests for a job's state while the command waits for its end.
const pollInterval = time.Second

// waitForEnd polls the job until it has ended. While the gateway is unavailable it keeps polling.
func waitForEnd(cmd *cobra.Command, caller *client.Caller, batch client.Batch) (client.Batch, error) {
	bar := newProgress(cmd, int64(batch.RequestCounts.Total), "items", false)
	defer bar.finish()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !batch.Ended() {
		select {
		case <-cmd.Context().Done():
			return batch, context.Cause(cmd.Context())
		case <-ticker.C:
		}
		latest, err := caller.Batch(cmd.Context(), batch.ID)
		if err != nil && !errors.Is(err, client.ErrUnavailable) {
			return batch, err
		}
		if err == nil {
			batch = latest
		}
		bar.set(int64(batch.RequestCounts.Completed + batch.RequestCounts.Failed))
	}
	return batch, nil
}

func (j *jobCommand) print(cmd *cobra.Command, batches ...client.Batch) error {
	var value any = batches
	if len(batches) == 1 {
		value = batches[0]
	}
	return j.output.write(cmd, value, func(out io.Writer) {
		printf(out, "JOB\tSTATUS\tITEMS\tCOMPLETED\tFAILED\tDUE\tRESULTS\tERRORS\n")
		for _, batch := range batches {
			printf(out, "%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", batch.ID, batch.Status, batch.RequestCounts.Total,
				batch.RequestCounts.Completed, batch.RequestCounts.Failed, time.Unix(batch.ExpiresAt, 0).UTC().Format(time.RFC3339),
				batch.OutputFileID, batch.ErrorFileID)
		}
	})
}

func (j *jobCommand) list() *cobra.Command {
	var limit int
	var after string
	command := &cobra.Command{
		Use:     "list",
		Short:   "List the organisation's jobs",
		Long:    "List the organisation's jobs, a page at a time.\n\n" + exitCodes,
		Example: "  rhubarbrudder job list --limit 50",
		Args:    usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			caller, err := j.connection.caller()
			if err != nil {
				return err
			}
			batches, more, err := caller.Batches(cmd.Context(), after, limit)
			if err != nil {
				return err
			}
			if more {
				printf(cmd.ErrOrStderr(), "there are more: --after %s\n", batches[len(batches)-1].ID)
			}
			return j.print(cmd, batches...)
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "jobs to list, at most 100")
	command.Flags().StringVar(&after, "after", "", "list jobs after this one")
	return command
}

func (j *jobCommand) show() *cobra.Command {
	var waitFlag bool
	command := &cobra.Command{
		Use:     "show JOB",
		Short:   "Print a job's state and counts",
		Long:    "Print a job's state and counts.\n\n" + exitCodes,
		Example: "  rhubarbrudder job show batch_0123 --wait",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			caller, err := j.connection.caller()
			if err != nil {
				return err
			}
			batch, err := caller.Batch(cmd.Context(), args[0])
			if err == nil && waitFlag {
				batch, err = waitForEnd(cmd, caller, batch)
			}
			if err != nil {
				return err
			}
			return j.print(cmd, batch)
		},
	}
	command.Flags().BoolVar(&waitFlag, "wait", false, "wait until the job has ended")
	return command
}

func (j *jobCommand) cancel() *cobra.Command {
	return &cobra.Command{
		Use:     "cancel JOB",
		Short:   "Cancel a job",
		Long:    "Cancel a job; what is finished stays readable.\n\n" + exitCodes,
		Example: "  rhubarbrudder job cancel batch_0123",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			caller, err := j.connection.caller()
			if err != nil {
				return err
			}
			batch, err := caller.Cancel(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return j.print(cmd, batch)
		},
	}
}

func (j *jobCommand) results() *cobra.Command {
	var failed bool
	command := &cobra.Command{
		Use:     "results JOB",
		Short:   "Print a job's results, a JSON object a line",
		Long:    "Print a job's results, a JSON object a line.\n\n" + exitCodes,
		Example: "  rhubarbrudder job results batch_0123 > output.jsonl\n  rhubarbrudder job results batch_0123 --errors",
		Args:    usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return j.runResults(cmd, args[0], failed)
		},
	}
	command.Flags().BoolVar(&failed, "errors", false, "print the failed items")
	return command
}

func (j *jobCommand) runResults(cmd *cobra.Command, id string, failed bool) error {
	caller, err := j.connection.caller()
	if err != nil {
		return err
	}
	batch, err := caller.Batch(cmd.Context(), id)
	if err != nil {
		return err
	}
	file := batch.OutputFileID
	if failed {
		file = batch.ErrorFileID
	}
	if file == "" {
		return nil
	}
	body, err := caller.Content(cmd.Context(), file)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	_, err = io.Copy(cmd.OutOrStdout(), body)
	return err
}
