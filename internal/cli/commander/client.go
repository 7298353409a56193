package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/peer/operator"
)

// This file calls a daemon's interface for operators, for the verbs that need
// it.

const (
	defaultDaemon = "127.0.0.1:7070"
	callTimeout   = 20 * time.Second
	tokenVariable = "MASTICROAD_TOKEN"
)

type daemonClient struct {
	address string
	token   string
}

func daemonFlags(cmd *cobra.Command, c *daemonClient) {
	cmd.Flags().StringVar(&c.address, "daemon", defaultDaemon, "HTTP address of any daemon")
	cmd.Flags().StringVar(&c.token, "token", os.Getenv(tokenVariable), "operator's token; the default is in $"+tokenVariable)
}

// do makes one call and returns its reply, also when the reply is a refusal.
func (c *daemonClient) do(ctx context.Context, method, path string, in any) (*operator.Reply, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "daemon %s", c.address)
	}
	defer func() { _ = resp.Body.Close() }()
	reply := &operator.Reply{}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return nil, errors.Annotatef(err, "daemon %s answered %s", c.address, resp.Status)
	}
	return reply, nil
}
