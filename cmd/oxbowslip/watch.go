package main

import (
	"context"
	"fmt"
	"os"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json/jsontext"

	"oxbowslip.dev/oxbowslip/internal/settings"
)

// watchInterval is the interval at which a watched host is queried.
const watchInterval = time.Second

// repeatUntilDone calls show at watchInterval until ctx is done. It prints errors and continues,
// because the host may become reachable again.
func repeatUntilDone(ctx context.Context, show func(ctx context.Context) error) error {
	for {
		if err := show(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "oxbowslip:", err)
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// diff validates the tree in a file and prints the merge patch from the tree in force to
// it. The patch is valid input of the sub-command apply.
func (t *tool) diff(ctx context.Context, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := settings.Decode(path, data); err != nil {
		return err
	}
	inForce, err := t.client.Settings(ctx)
	if err != nil {
		return err
	}
	patch, err := mergePatch(inForce.Tree, data)
	if err != nil {
		return err
	}
	fmt.Println(string(patch))
	return nil
}

// mergePatch returns the JSON merge patch (RFC 7396) from one document to another.
func mergePatch(from, to []byte) (jsontext.Value, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, err
	}
	value := jsontext.Value(patch)
	err = value.Indent()
	return value, err
}

// watchSettings prints the changes of each new revision as a merge patch.
func (t *tool) watchSettings(ctx context.Context) error {
	last, err := t.client.Settings(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d is in force\n", last.Revision)
	return repeatUntilDone(ctx, func(ctx context.Context) error {
		next, err := t.client.Settings(ctx)
		if err != nil || next.Revision == last.Revision {
			return err
		}
		patch, err := mergePatch(last.Tree, next.Tree)
		if err != nil {
			return err
		}
		fmt.Printf("%s revision %d: %s\n", time.Now().Format(logTimeFormat), next.Revision, patch)
		last = next
		return nil
	})
}
