// Package logging makes the logger of a program; both programs use it. Each part of a program logs
// short sentences with its own fixed prefix. Ring writes in the background and Sampler bounds lines, so
// that logs never hold up a request.
package logging

import (
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// partField is the field that becomes the prefix.
const partField = "part"

// New returns a logger that writes to w. Level and format are those of a host's
// settings.
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, merry.Prepend(err, "log level")
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	log.AddHook(prefixHook{})
	return log, nil
}

// Part returns a logger whose messages begin with the part's name.
func Part(log *logrus.Logger, part string) *logrus.Entry {
	return log.WithField(partField, part)
}

// prefixHook moves the part from the fields to the front of the message.
type prefixHook struct{}

// Levels reports that the hook is for all levels.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire changes the entry that is about to be written.
func (prefixHook) Fire(entry *logrus.Entry) error {
	part, ok := entry.Data[partField].(string)
	if !ok {
		return nil
	}
	data := make(logrus.Fields, len(entry.Data))
	for key, value := range entry.Data {
		if key != partField {
			data[key] = value
		}
	}
	entry.Data = data
	entry.Message = part + ": " + entry.Message
	return nil
}
