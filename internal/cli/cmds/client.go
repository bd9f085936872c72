package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/cli/submitter"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
)

// clientTimeout bounds one call of a command.
const clientTimeout = 10 * clock.Second

// platformFlags say where the platform is.
type platformFlags struct {
	Platform string `arg:"required,env:DOTTERELWELL_PLATFORM" help:"address of the platform's object API, such as http://10.0.0.1:7000"`
}

func (f platformFlags) store() *storer.Storer {
	return storer.New(f.Platform, &http.Client{}, clientTimeout)
}

func (f platformFlags) submitter() *submitter.Submitter {
	return &submitter.Submitter{Store: f.store(), Clock: &clock.Clock{}}
}

// operatorFlags say where an instance's operator address is.
type operatorFlags struct {
	Operator string `arg:"required,env:DOTTERELWELL_OPERATOR" help:"operator address of any instance, such as http://10.0.0.2:8082"`
	KeyFile  string `arg:"--key-file,env:DOTTERELWELL_OPERATOR_KEY_FILE" help:"file with the operator key"`
}

// call asks an instance and decodes its answer into reply.
func (f operatorFlags) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout.Duration())
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(f.Operator, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	if f.KeyFile != "" {
		key, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1024)) // the status says enough
		return errors.Newf("the instance answered status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

func printJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// operatorName names who gives an order, for those who read it later.
func operatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // a closed terminal is no error of the command
}
