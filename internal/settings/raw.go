package settings

// Raw is a configuration as a deployment wrote it, before it is decoded into a tree. Hosts
// hand it on unchanged, so that each decodes it with its own version of the program.
type Raw []byte
