package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines returns the line number of each key path of the TOML document b, which
// must be valid.
func keyLines(b []byte) map[string]int {
	m := map[string]int{}
	var p unstable.Parser
	p.Reset(b)
	var s string
	for p.NextExpression() {
		x := p.Expression()
		k, l := keyOf(&p, x)
		switch x.Kind {
		case unstable.Table, unstable.ArrayTable:
			s = k
			m[s] = l
		case unstable.KeyValue:
			addKey(&p, m, s, x)
		}
	}
	return m
}

// addKey adds the line of the key of the expression x in the section s to m. If
// its value is an inline table, the keys of the table are added too.
func addKey(p *unstable.Parser, m map[string]int, s string, x *unstable.Node) {
	k, l := keyOf(p, x)
	k = joinPath(s, k)
	m[k] = l
	if x.Value().Kind != unstable.InlineTable {
		return
	}
	for i := x.Value().Children(); i.Next(); {
		addKey(p, m, k, i.Node())
	}
}

// keyOf returns the dotted key of the expression x and its line number.
func keyOf(p *unstable.Parser, x *unstable.Node) (string, int) {
	var a []string
	var l int
	for i := x.Key(); i.Next(); {
		if len(a) == 0 {
			l = p.Shape(i.Node().Raw).Start.Line
		}
		a = append(a, string(i.Node().Data))
	}
	return strings.Join(a, "."), l
}

func joinPath(s, k string) string {
	if s == "" {
		return k
	}
	return s + "." + k
}
