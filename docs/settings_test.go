package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/machine/profile"
)

// TestSettingsAreUsed guards against settings that are read and not used: limits that an operator sets and nothing keeps.
func TestSettingsAreUsed(t *testing.T) {
	var code strings.Builder
	for _, root := range []string{"../cmd", "../internal", "../platform"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go"), strings.HasSuffix(path, "_test.go"):
				return err
			case strings.HasSuffix(path, "loader/loader.go"), strings.HasSuffix(path, "platform/settings.go"):
				return nil
			}
			raw, err := os.ReadFile(path)
			code.Write(raw)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, settings := range []any{loader.Settings{}, profile.Profile{}} {
		checkUsed(t, reflect.TypeOf(settings), code.String())
	}
}

func checkUsed(t *testing.T, settings reflect.Type, code string) {
	for f := range settings.Fields() {
		if !regexp.MustCompile(`\.` + f.Name + `\b`).MatchString(code) {
			t.Errorf("%s.%s is read and not used", settings.Name(), f.Name)
		}
		if f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == settings.PkgPath() {
			checkUsed(t, f.Type, code)
		}
	}
}
