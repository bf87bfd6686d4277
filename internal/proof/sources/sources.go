// Package sources reads the repository's own files, for tests that check that documentation and code agree. Only
// tests import this package.
package sources

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// Root returns the relative path of the repository's root: the nearest folder at or above the calling test's folder
// that contains a go.mod.
func Root(t testing.TB) string {
	t.Helper()
	for root := "."; ; root = filepath.Join(root, "..") {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			return root
		}
		if absolute, err := filepath.Abs(root); err != nil || absolute == filepath.Dir(absolute) {
			t.Fatal("no go.mod in the test's folder or above it")
		}
	}
}

// Read returns the text of a file, given by its path from the root.
func Read(t testing.TB, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(Root(t), path))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// ReadAll returns the texts of all files below a folder that have an extension such as ".go", by path. The paths
// and the folder are relative to the root.
func ReadAll(t testing.TB, folder, extension string) map[string]string {
	t.Helper()
	root := Root(t)
	texts := make(map[string]string)
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != extension {
			return err
		}
		path, err = filepath.Rel(root, path)
		texts[path] = Read(t, path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return texts
}
