// Package version holds the version that all programs report. It stands alone so that a
// command line need not link a daemon for it.
package version

// Version is the version of the release that is being worked on (see CHANGELOG.md). Hosts
// report it to operators; nothing decides by it.
const Version = "0.2.0"
