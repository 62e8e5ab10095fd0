// Command protogen writes the Go code of the protocol files named on its
// command line, next to them. It runs the code generators that the tools
// module pins, so that no other program has to be installed.
//
// Usage: cd tools && go run ./protogen ../bbrpeer/peerpb/peer.proto
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// generators are the programs that make code from a request on standard input.
var generators = []string{
	"google.golang.org/protobuf/cmd/protoc-gen-go",
	"github.com/twitchtv/twirp/protoc-gen-twirp",
}

func main() {
	for _, path := range os.Args[1:] {
		if err := generate(path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			os.Exit(1)
		}
	}
}

// generate compiles one file and runs the generators on it.
func generate(path string) error {
	dir, name := filepath.Split(path)
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	req := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])},
	}
	input, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	for _, g := range generators {
		if err := run(g, input, dir); err != nil {
			return err
		}
	}
	return nil
}

// run starts one generator and writes its files.
func run(generator string, input []byte, dir string) error {
	cmd := exec.Command("go", "run", generator)
	cmd.Stdin = bytes.NewReader(input)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return fmt.Errorf("%s: %w", generator, err)
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &resp); err != nil {
		return err
	}
	if resp.Error != nil {
		return fmt.Errorf("%s: %s", generator, resp.GetError())
	}
	for _, f := range resp.GetFile() {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
