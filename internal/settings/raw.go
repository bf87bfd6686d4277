package settings

// Raw is the encoded configuration of a deployment, before it is decoded into a tree. Hosts
// forward it unchanged, so that each host decodes it with its own version of the program.
type Raw []byte
