// Package version defines the version that all programs report. It is a separate package so
// that command-line tools need not import a daemon.
package version

// Version is the version of the next release (see CHANGELOG.md). Hosts report it to
// operators; no decision depends on it.
const Version = "0.2.0"
