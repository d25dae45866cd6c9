package tomltext

import "testing"

type document struct {
	Count   int     `toml:"count"`
	Section section `toml:"section"`
}

type section struct {
	Name string `toml:"name"`
}

func TestDecode(t *testing.T) {
	var got document
	if err := Decode([]byte("count = 3\n[section]\nname = \"x\"\n"), &got, true); err != nil {
		t.Fatal(err)
	}
	if got.Count != 3 || got.Section.Name != "x" {
		t.Errorf("got %+v, want count 3 and name x", got)
	}
	if err := Decode([]byte("unknown = 3\n"), &got, false); err != nil {
		t.Errorf("unknown field, not strict: got error %v", err)
	}
}

// TestDecodeErrors checks the errors that users get for invalid TOML.
func TestDecodeErrors(t *testing.T) {
	for _, test := range []struct {
		name, text string
		strict     bool
		want       string
	}{
		{"unknown field", "count = 3\nunknown = 3\n", true, "line 2: unknown: no such section or field"},
		{"unknown field of a section", "[section]\nnam = \"x\"\n", true, "line 2: section.nam: no such field"},
		{"unknown section", "\n[sektion]\n", true, "line 2: sektion: no such section or field"},
		{"type", "[section]\nname = 3\n", false, "line 2 column 8: section.name: toml: cannot decode TOML integer into struct field tomltext.section.Name of type string"},
		{"syntax", "count = \n", false, "line 1 column 9: : toml: unexpected character U+000A at start of value"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got document
			if err := Decode([]byte(test.text), &got, test.strict); err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}
