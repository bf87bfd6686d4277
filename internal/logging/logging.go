// Package logging creates the logger of a program; both programs use it. Each component of a program
// logs with its own fixed prefix. Ring writes lines in the background and Sampler limits their rate, so
// that logging never delays a request.
package logging

import (
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
)

// partField is the log field whose value becomes the prefix.
const partField = "part"

// New returns a logger that writes to w. The level and format come from the host's
// configuration file.
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, merry.Prepend(err, "parse log level")
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

// Part returns a logger whose messages are prefixed with the name of a component.
func Part(log *logrus.Logger, part string) *logrus.Entry {
	return log.WithField(partField, part)
}

// prefixHook moves the part field to the front of the message.
type prefixHook struct{}

// Levels implements logrus.Hook.
func (prefixHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook: it changes the entry before it is written.
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
