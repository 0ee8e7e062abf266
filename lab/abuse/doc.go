// Package abuse plays clients that send what is allowed in amounts that are not, or that do not keep the limits on requests:
// many large bodies at once, heads of very many short fields, pipelined requests whose responses are not read, and crowds of
// connections that are slow or silent. They are played against real daemons with a store, peers and back ends, beside
// ordinary callers, while the memory of the daemons is watched.
package abuse
