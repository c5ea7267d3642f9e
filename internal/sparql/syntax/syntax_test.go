package syntax

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Queries that cover every production of the query grammar.
var queries = []string{
	`SELECT * WHERE { ?s ?p ?o }`,
	`BASE <http://x/> PREFIX t: <terms#> PREFIX : <http://y/> SELECT DISTINCT ?a (COUNT(*) AS ?n) FROM <g1> ` +
		`FROM NAMED t:g2 { ?a t:b ?c . ?c a :k } GROUP BY ?a HAVING (COUNT(?c) > 3) ORDER BY DESC(?n) ?a LIMIT ` +
		`10 OFFSET 5`,
	`SELECT REDUCED ?x { ?x <p>/<q>|^<r>* ?y ; <s>+ [ <t> 1, 2.5, -3e4 ] ; (<u>/!(<v>|^a))? "z"@en-GB . ` +
		`OPTIONAL { ?x <w> '''long
'quoted' text''' } MINUS { ?x a <k> } }`,
	`SELECT ?x { { ?x <a> 1 } UNION { ?x <b> 2 } UNION { ?x <c> true } FILTER (?x != <y> && !BOUND(?z) || ` +
		`STRLEN(STR(?x)) + 1 * 2 >= 3) FILTER NOT EXISTS { ?x <d> ?e } }`,
	`SELECT ?x { GRAPH ?g { ?x ?y ?z } GRAPH <g> { ?x <p> (1 2 (?x)) } BIND (IF(?a IN (1, 2), "x"^^<t>, ` +
		`COALESCE(?b, REGEX(?c, "d", "i"))) AS ?f) VALUES ?x { <a> UNDEF 1 } VALUES (?x ?y) { (1 2) (UNDEF "a") ` +
		`} }`,
	`SELECT ?x { { SELECT ?x (SUM(?y) AS ?s) (GROUP_CONCAT(DISTINCT ?z; SEPARATOR=", ") AS ?c) WHERE { ?x ` +
		`<p> ?y, ?z } GROUP BY ?x LIMIT 3 } SERVICE SILENT <http://far/sparql> { ?x <q> ?r } } VALUES () { () }`,
	`CONSTRUCT { ?s <p> [] . _:b <q> ?o } WHERE { ?s <r> ?o } LIMIT 3`,
	`CONSTRUCT FROM <g> WHERE { ?s <r> ?o . ?o <t> 1 }`,
	`DESCRIBE <a> ?b FROM <g> WHERE { ?b <p> <a> }`,
	`DESCRIBE *  { ?b <p> <a> }`,
	`DESCRIBE <a>`,
	`ASK { } # done`,
	`PREFIX ä: <http://ä/> ASK { ä:ö\,ü <p> ä: ; <q> _:x.y ; . }`,
	"ASK { ?x <p> \"a\\\"b\\u00e9\" FILTER(?x<3 &&?x>-1) FILTER <f>(DISTINCT ?x, 2) FILTER (?x NOT IN ()) }",
}

var updates = []string{
	`INSERT DATA { <a> <b> 1 . GRAPH <g> { <a> <b> _:c } . <d> <e> "f" }`,
	`DELETE DATA { GRAPH <g> { <a> <b> 1, 2 } }; INSERT DATA { <a> <b> 3 } ;`,
	`DELETE WHERE { GRAPH ?g { ?s <p> ?o } }`,
	`PREFIX : <http://x/> WITH :g DELETE { ?s :p ?o } INSERT { ?s :q ?o . GRAPH :h { ?s :r [] } } USING :a ` +
		`USING NAMED :b WHERE { ?s :p ?o }`,
	`INSERT { ?s <p> 1 } WHERE { SELECT ?s { ?s a <k> } }`,
	`LOAD SILENT <http://x/data> INTO GRAPH <g>; CLEAR SILENT GRAPH <g>; DROP ALL; CREATE GRAPH <h>; ADD <a> ` +
		`TO DEFAULT; MOVE GRAPH <b> TO <c>; COPY DEFAULT TO <d>`,
	`CLEAR DEFAULT; CLEAR NAMED; PREFIX x: <y> DROP GRAPH x:z`,
}

func TestValidTextsAreParsed(t *testing.T) {
	for _, text := range queries {
		if _, err := Parse(text, false); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if _, err := Parse(text, true); err == nil {
			t.Errorf("a query was parsed as an update: %s", text)
		}
	}
	for _, text := range updates {
		if _, err := Parse(text, true); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if _, err := Parse(text, false); err == nil {
			t.Errorf("an update was parsed as a query: %s", text)
		}
	}
}

func TestSyntaxErrorsReportTheirPosition(t *testing.T) {
	for text, want := range map[string]Error{
		``:                                    {1, 1, "the end where SELECT, CONSTRUCT, DESCRIBE or ASK is wanted"},
		"SELECT ?x\n{ ?x t:p 1 }":             {2, 6, `prefix "t:" is not declared`},
		"SELECT ?x {\n  ?x <p> }":             {2, 10, `"}" where a term is wanted`},
		`SELECT ?x { ?x <p> "ä\q" }`:          {1, 22, "an escape that there is not"},
		"ASK { ?x <p> \"a\n\" }":              {1, 14, "a string that does not end on its line"},
		`ASK { ?x <p> '''a }`:                 {1, 14, "a string that does not end"},
		`ASK { ?x <p> 1 } }`:                  {1, 18, `"}" where the end is wanted`},
		`SELECT ?x { ?x <p> 1 } LIMIT -1`:     {1, 30, `"-" where a whole number is wanted`},
		`SELECT (1 AS 2) { }`:                 {1, 14, `"2" where a variable is wanted`},
		`SELECT * { VALUES (?a ?b) { (1) } }`: {1, 29, "1 values for 2 variables"},
		`SELECT * { FILTER REGEX("a") }`:      {1, 24, "1 arguments"},
		`SELECT * { FILTER NOPE(1) }`:         {1, 19, `"NOPE" where a constraint is wanted`},
		`SELECT * { ?x § 1 }`:                 {1, 15, `'§' begins nothing`},
		`CONSTRUCT { ?x <p>/<q> 1 } { }`:      {1, 19, `"/" where a term is wanted`},
	} {
		_, err := Parse(text, false)
		var got *Error
		if !errors.As(err, &got) || *got != want {
			t.Errorf("%q: %v, want %v", text, err, &want)
		}
	}
	for text, want := range map[string]string{
		`INSERT DATA { ?x <p> 1 }`:                            "no variable may stand here",
		`DELETE DATA { _:x <p> 1 }`:                           "no blank node may stand here",
		`DELETE { [] <p> 1 } WHERE { }`:                       "no blank node may stand here",
		`DELETE WHERE { ?x <p> [] }`:                          "no blank node may stand here",
		`INSERT { ?x <p> 1 }`:                                 "the end where WHERE is wanted",
		`CLEAR <g>`:                                           "GRAPH is wanted",
		`WITH <g> CLEAR ALL`:                                  "INSERT or DELETE is wanted",
		`INSERT DATA { <a> <b> 1 } INSERT DATA { <a> <b> 2 }`: "where the end is wanted",
	} {
		if _, err := Parse(text, true); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestDepthAndLengthAreBounded(t *testing.T) {
	for _, deep := range [][3]string{
		{"ASK ", "{", "}"}, {"ASK { FILTER ", "(", ")"},
		{"ASK { ?x <p> ", "(", ")"}, {"ASK { ?x ", "(", ")"},
		{"ASK { ?x <p> ", "[<q> ", "]"}, {"ASK { FILTER ", "EXISTS { FILTER ", "}"}, {"SELECT * ", "{ SELECT * ", "}"}} {
		_, err := Parse(deep[0]+strings.Repeat(deep[1], 10_000)+strings.Repeat(deep[2], 10_000), false)
		if err == nil || !strings.Contains(err.Error(), "over 128 levels") {
			t.Errorf("%q nested 10000 times: %v", deep[1], err)
		}
	}
	if _, err := Parse("ASK "+strings.Repeat("{", 100)+strings.Repeat("}", 100), false); err != nil {
		t.Error(err)
	}
	if _, err := Parse(strings.Repeat(" ", MaxBytes)+"ASK {}", false); err == nil {
		t.Error("a text over MaxBytes was accepted")
	}
	if _, err := Parse(strings.Repeat("CLEAR GRAPH <g>;", MaxGraphs+1), true); err == nil {
		t.Error("a text with over MaxGraphs graphs was accepted")
	}
}

func TestGraphsFormsAndCountsAreKnown(t *testing.T) {
	mustParse := func(text string, update bool) *Statement {
		t.Helper()
		s, err := Parse(text, update)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := mustParse(queries[1], false)
	if s.Form != Select || !slices.Equal(s.Reads, []string{"http://x/g1", "http://x/terms#g2"}) || s.ReadsDefault ||
		s.Cost.Limit != 10 || s.Cost.Sorts != 3 || s.Cost.Aggregates != 2 {
		t.Errorf("%+v", s)
	}
	s = mustParse(queries[5], false)
	if !slices.Equal(s.Services, []string{"http://far/sparql"}) || s.Cost.Limit != -1 ||
		s.Cost.Subqueries != 1 || !s.ReadsDefault {
		t.Errorf("%+v", s)
	}
	s = mustParse(updates[3], true)
	if s.Form != Update || !slices.Equal(s.Writes, []string{"http://x/g", "http://x/h"}) ||
		!slices.Equal(s.Reads, []string{"http://x/a", "http://x/b"}) || s.WritesAny || s.WritesDefault {
		t.Errorf("%+v", s)
	}
	s = mustParse(updates[5], true)
	if !s.UsesLoad || !s.WritesAny || !s.WritesDefault || !slices.Equal(s.Writes, []string{"b", "c", "d", "g", "h"}) ||
		!slices.Equal(s.Reads, []string{"a", "b"}) {
		t.Errorf("%+v", s)
	}
	s = mustParse(updates[2], true)
	if !s.WritesAny || s.Cost.Patterns != 1 || s.Cost.PatternsByVariables[2] != 1 {
		t.Errorf("%+v", s)
	}
	s = mustParse(`SELECT * { ?a <p> ?b . ?b ?q ?c . <x> <p>* ?a OPTIONAL { <x> <y> 1 } }`, false)
	if s.Cost.PatternsByVariables != [4]int{1, 1, 1, 1} ||
		s.Cost.Paths != 1 || s.Cost.Joins != 1 {
		t.Errorf("%+v", s)
	}
	a := mustParse(`SELECT ?x { ?x <p> "a"@en, 3 }`, false)
	if b := mustParse("# other\nselect  ?name\n{ ?name <p> 'b'@de , 4.5 }", false); a.Fingerprint != b.Fingerprint {
		t.Error("literals, names of variables or white space changed the fingerprint")
	}
	if b := mustParse(`SELECT ?x { ?x <q> "a"@en, 3 }`, false); a.Fingerprint == b.Fingerprint {
		t.Error("texts with different predicates have the same fingerprint")
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range append(append([]string{}, queries...), updates...) {
		f.Add(text, uint64(1))
	}
	f.Fuzz(func(t *testing.T, text string, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 1))
		for _, update := range []bool{false, true} {
			s, err := Parse(text, update)
			var parseError *Error
			if err != nil && (!errors.As(err, &parseError) || parseError.Line < 1 || parseError.Column < 1) {
				t.Fatalf("%v", err)
			}
			if s != nil && len(text) > 0 { // a truncated text must not panic either
				_, _ = Parse(text[:r.IntN(len(text))], update) // both success and an error are valid
				if again, _ := Parse(text, update); again == nil || again.Fingerprint != s.Fingerprint {
					t.Fatal("parsing the text again gave another fingerprint")
				}
			}
		}
	})
}
