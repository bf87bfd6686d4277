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

// watchInterval is the time between two looks at a host.
const watchInterval = time.Second

// repeat calls show until ctx ends. An answer that does not come is reported, and the
// watch goes on: the host may come back.
func repeat(ctx context.Context, show func(ctx context.Context) error) error {
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

// diff prints the merge patch that leads from the tree in force to the one in a file,
// after checking that one whole. It can be given to apply.
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

// mergePatch returns the merge patch (RFC 7396) from one document to another.
func mergePatch(from, to []byte) (jsontext.Value, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, err
	}
	value := jsontext.Value(patch)
	err = value.Indent()
	return value, err
}

// watchSettings prints what each revision that comes into force changes.
func (t *tool) watchSettings(ctx context.Context) error {
	last, err := t.client.Settings(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d is in force\n", last.Revision)
	return repeat(ctx, func(ctx context.Context) error {
		next, err := t.client.Settings(ctx)
		if err != nil || next.Revision == last.Revision {
			return err
		}
		patch, err := mergePatch(last.Tree, next.Tree)
		if err != nil {
			return err
		}
		fmt.Printf("%s revision %d: %s\n", time.Now().Format(logTime), next.Revision, patch)
		last = next
		return nil
	})
}
