package waxwire

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

// TestProductionDescriptors guards against a check of compatibility with another version than
// the one in production: the descriptors in testdata are those of the version that
// testdata/production names.
func TestProductionDescriptors(t *testing.T) {
	is := is.New(t)
	deploy, err := os.ReadFile("../../deploy/system.toml")
	is.NoErr(err)
	named := regexp.MustCompile(`(?m)^production = "([0-9a-f]+)"$`).FindSubmatch(deploy)
	is.True(named != nil) // the deploy file names a version in production
	described, err := os.ReadFile("testdata/production")
	is.NoErr(err)
	is.Equal(string(named[1]), strings.TrimSpace(string(described)))
}

// TestMessagesOfProduction guards against messages that the version in production can't read,
// and against ones of its own that can't be read here.
func TestMessagesOfProduction(t *testing.T) {
	is := is.New(t)
	production := productionFiles(t)
	is.True(len(production.File) >= 2)
	for _, file := range production.File {
		current, err := protodesc.NewFile(file, nil)
		is.NoErr(err)
		ours := map[string]protoreflect.FileDescriptor{"load.proto": File_load_proto, "peer.proto": File_peer_proto}[file.GetName()]
		is.True(ours != nil) // the file is still there
		is.Equal(fileBreaks(current, ours), nil)
	}
}

// TestBreaksAreFound guards against a check that overlooks changes.
func TestBreaksAreFound(t *testing.T) {
	for name, change := range map[string]func(*descriptorpb.FileDescriptorProto){
		"message deleted":  func(f *descriptorpb.FileDescriptorProto) { f.MessageType[0].Name = proto.String("Other") },
		"field deleted":    func(f *descriptorpb.FileDescriptorProto) { f.MessageType[0].Field = f.MessageType[0].Field[1:] },
		"field renamed":    func(f *descriptorpb.FileDescriptorProto) { f.MessageType[0].Field[0].Name = proto.String("other") },
		"field renumbered": func(f *descriptorpb.FileDescriptorProto) { f.MessageType[0].Field[0].Number = proto.Int32(1_000) },
		"type changed": func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field[0].Type = typeOf(descriptorpb.FieldDescriptorProto_TYPE_STRING)
		},
		"field repeated": func(f *descriptorpb.FileDescriptorProto) {
			f.MessageType[0].Field[0].Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		},
		"method renamed":       func(f *descriptorpb.FileDescriptorProto) { f.Service[0].Method[0].Name = proto.String("Other") },
		"method made a stream": func(f *descriptorpb.FileDescriptorProto) { f.Service[0].Method[0].ServerStreaming = proto.Bool(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := productionFiles(t).File[0]
			before, err := protodesc.NewFile(proto.CloneOf(file), nil)
			is.NoErr(err)
			change(file)
			after, err := protodesc.FileOptions{AllowUnresolvable: true}.New(file, nil)
			is.NoErr(err)
			is.Equal(len(fileBreaks(before, before)), 0)
			is.True(len(fileBreaks(before, after)) > 0)
		})
	}
}

func typeOf(t descriptorpb.FieldDescriptorProto_Type) *descriptorpb.FieldDescriptorProto_Type {
	return &t
}

// productionFiles returns the descriptors of the version in production.
func productionFiles(t *testing.T) *descriptorpb.FileDescriptorSet {
	t.Helper()
	is := is.New(t)
	raw, err := os.ReadFile("testdata/production.binpb")
	is.NoErr(err)
	var set descriptorpb.FileDescriptorSet
	is.NoErr(proto.Unmarshal(raw, &set))
	return &set
}

// fileBreaks returns what a reader of one version of a file misses in another one. Messages,
// fields, enum values and methods may be added.
func fileBreaks(before, after protoreflect.FileDescriptor) []string {
	var breaks []string
	if before.Package() != after.Package() {
		breaks = append(breaks, fmt.Sprintf("package is %s", after.Package()))
	}
	for i := range before.Messages().Len() {
		m := before.Messages().Get(i)
		breaks = append(breaks, messageBreaks(m, after.Messages().ByName(m.Name()))...)
	}
	for i := range before.Enums().Len() {
		e := before.Enums().Get(i)
		breaks = append(breaks, enumBreaks(e, after.Enums().ByName(e.Name()))...)
	}
	for i := range before.Services().Len() {
		s := before.Services().Get(i)
		breaks = append(breaks, serviceBreaks(s, after.Services().ByName(s.Name()))...)
	}
	return breaks
}

func messageBreaks(before, after protoreflect.MessageDescriptor) []string {
	if after == nil {
		return []string{fmt.Sprintf("%s is missing", before.FullName())}
	}
	var breaks []string
	for i := range before.Fields().Len() {
		f := before.Fields().Get(i)
		if wanted, found := fieldText(f), fieldText(after.Fields().ByNumber(f.Number())); found != wanted {
			breaks = append(breaks, fmt.Sprintf("%s is %q, not %q", f.FullName(), found, wanted))
		}
	}
	for i := range before.Messages().Len() {
		m := before.Messages().Get(i)
		breaks = append(breaks, messageBreaks(m, after.Messages().ByName(m.Name()))...)
	}
	for i := range before.Enums().Len() {
		e := before.Enums().Get(i)
		breaks = append(breaks, enumBreaks(e, after.Enums().ByName(e.Name()))...)
	}
	return breaks
}

// fieldText describes a field as far as its readers depend on it; empty for none.
func fieldText(f protoreflect.FieldDescriptor) string {
	if f == nil {
		return ""
	}
	text := fmt.Sprintf("%s %s packed=%v optional=%v", f.Cardinality(), f.Kind(), f.IsPacked(), f.HasOptionalKeyword())
	if f.Message() != nil {
		text += fmt.Sprintf(" of %s", f.Message().FullName())
	}
	if f.Enum() != nil {
		text += fmt.Sprintf(" of %s", f.Enum().FullName())
	}
	if o := f.ContainingOneof(); o != nil {
		text += fmt.Sprintf(" in %s", o.Name())
	}
	return fmt.Sprintf("%s %s", f.Name(), text)
}

func enumBreaks(before, after protoreflect.EnumDescriptor) []string {
	if after == nil {
		return []string{fmt.Sprintf("%s is missing", before.FullName())}
	}
	var breaks []string
	for i := range before.Values().Len() {
		v := before.Values().Get(i)
		if found := after.Values().ByNumber(v.Number()); found == nil || found.Name() != v.Name() {
			breaks = append(breaks, fmt.Sprintf("%s is missing, or another value", v.FullName()))
		}
	}
	return breaks
}

func serviceBreaks(before, after protoreflect.ServiceDescriptor) []string {
	if after == nil {
		return []string{fmt.Sprintf("%s is missing", before.FullName())}
	}
	var breaks []string
	for i := range before.Methods().Len() {
		m := before.Methods().Get(i)
		found := after.Methods().ByName(m.Name())
		if found == nil || found.Input().FullName() != m.Input().FullName() || found.Output().FullName() != m.Output().FullName() ||
			found.IsStreamingClient() != m.IsStreamingClient() || found.IsStreamingServer() != m.IsStreamingServer() {
			breaks = append(breaks, fmt.Sprintf("%s is missing, or has changed", m.FullName()))
		}
	}
	return breaks
}
