package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"yewpass/internal/config"
	"yewpass/internal/operators"
)

// Exit codes of the client commands.
const (
	exitUsage       = 1 // bad arguments, files or an unreachable node
	exitRejected    = 2 // permanent rejection, such as 400, 404 or 422
	exitUnavailable = 3 // temporary failure of the node: 429 or 5xx
)

// statusError is an HTTP response whose status is not a success.
type statusError struct {
	status     int
	reason     string
	retryAfter string
}

// Error returns the status, the reason and any retry delay.
func (e *statusError) Error() string {
	s := fmt.Sprintf("%d %s: %s", e.status, http.StatusText(e.status), e.reason)
	if e.retryAfter != "" {
		s += " (retry after " + e.retryAfter + " s)"
	}
	return s
}

func exitCode(err error) int {
	var se *statusError
	switch {
	case !errors.As(err, &se):
		return exitUsage
	case se.status == http.StatusTooManyRequests || se.status >= 500:
		return exitUnavailable
	}
	return exitRejected
}

func checkCommand() *cobra.Command {
	var settings, ops string
	cmd := &cobra.Command{
		Use: "check", Short: "Validate a settings file, an operators' file or both", Args: cobra.NoArgs,
		Example: "  yewpass check --config settings.toml --operators deploy/operators.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" && ops == "" {
				return errors.New("check: give --config, --operators or both")
			}
			if settings != "" {
				if _, err := config.Load(settings); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), settings+": ok")
			}
			if ops != "" {
				if _, err := operators.Load(ops); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), ops+": ok")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&settings, "config", "", "settings file")
	cmd.Flags().StringVar(&ops, "operators", "", "operators' file")
	return cmd
}

func nodeFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("node", "127.0.0.1:8080", "address of a node's client_listen")
}

func submitCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "submit FILE", Short: "Submit the job that a JSON file (- for standard input) describes", Args: cobra.ExactArgs(1),
	}
	node := nodeFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := readInput(cmd, args[0])
		if err != nil {
			return err
		}
		return callAndPrint(cmd, http.MethodPost, *node, "/v2/runs", data)
	}
	return cmd
}

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status ID", Short: "Show the state of a job", Args: cobra.ExactArgs(1)}
	node := nodeFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return callAndPrint(cmd, http.MethodGet, *node, "/v2/runs/"+args[0], nil)
	}
	return cmd
}

func cancelCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1)}
	node := nodeFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return callAndPrint(cmd, http.MethodPost, *node, "/v2/runs/"+args[0]+"/cancel", nil)
	}
	return cmd
}

// callAndPrint sends a request and prints the JSON response.
func callAndPrint(cmd *cobra.Command, method, node, path string, body []byte) error {
	var v json.RawMessage
	if err := doRequest(method, node, path, body, nil, &v); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), string(bytes.TrimSpace(v)))
	return nil
}

// doRequest sends a request to a node and decodes the JSON response into v. It returns a
// *statusError if the node reports a failure.
func doRequest(method, node, path string, body []byte, header http.Header, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, vs := range header {
		req.Header[k] = vs
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode >= 300 {
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(data, &e) != nil || e.Error == "" {
			e.Error = "no reason given"
		}
		return &statusError{resp.StatusCode, e.Error, resp.Header.Get("Retry-After")}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode the node's response: %w", err)
	}
	return nil
}
