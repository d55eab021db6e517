package conf

import (
	_ "embed" // Embeds the source that Reference renders.
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"reflect"
	"strings"

	"crocusstep/fault"
)

//go:embed settings.go
var settingsSource string

//go:embed relay.go
var relaySource string

// Reference renders docs/Config.md from the settings' comments and defaults.
func Reference() (text string, err error) {
	defer fault.Annotate(&err, "render the settings reference")
	comments := map[string]string{}
	for _, source := range []string{settingsSource, relaySource} {
		found, err := fieldComments(source)
		if err != nil {
			return "", err
		}
		maps.Copy(comments, found)
	}
	var page strings.Builder
	page.WriteString("# Settings\n\nGenerated from conf/settings.go and conf/relay.go by `make generate`; do not edit.\n")
	roles := []struct {
		name     string
		settings any
	}{{"entry", NewEntry()}, {"agent", NewAgent()}, {"relay", NewRelay()}, {"keeper", NewKeeper()}}
	for _, role := range roles {
		fmt.Fprintf(&page, "\n## crocusstep %s\n\n| key | default | meaning |\n|---|---|---|\n", role.name)
		writeRows(&page, comments, reflect.ValueOf(role.settings), "")
	}
	return page.String(), nil
}

func writeRows(page *strings.Builder, comments map[string]string, value reflect.Value, prefix string) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			writeRows(page, comments, value.Field(i), key+".")
			continue
		}
		defaultText := fmt.Sprintf("`%v`", value.Field(i).Interface())
		if field.Tag.Get("required") == "true" {
			defaultText = "required"
		}
		comment := comments[value.Type().Name()+"."+field.Name]
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", key, defaultText, comment)
	}
}

// fieldComments maps "Struct.Field" to the comment of the field.
func fieldComments(source string) (map[string]string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	comments := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structType, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structType.Fields.List {
			for _, name := range field.Names {
				comments[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
			}
		}
		return true
	})
	return comments, nil
}
