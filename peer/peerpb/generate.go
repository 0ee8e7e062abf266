// Package peerpb contains the generated code of the messages between daemons.
package peerpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-go-drpc=$(go tool -n protoc-gen-go-drpc) --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto"
