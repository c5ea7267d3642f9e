package statement

import "testing"

func TestGroup(t *testing.T) {
	for text, want := range map[string]int{
		"SELECT * FROM sales_17.orders":                                       17,
		"select a.id, 'from mart_3.x' as n\n from ops_4.y a\n where a.t = 1":  4,
		"SELECT id -- was: from mart_1.old\nFROM lake_12.stock":               12,
		"/* mart_1.a /* b */ ops_2.c */ SELECT 1 FROM lake_9 . t":             9,
		"merge into mart_12.v d using staging.delta s on d.id = s.id":         12,
		"INSERT INTO x SELECT * FROM staging.batch JOIN staging_8.b, ops_6.c": 6,
		`SELECT "it''s_5.x" FROM "sales_21"."orders"`:                         21,
		"SELECT 'it''s mart_2.a' FROM w_7.t":                                  7,
		"SELECT t_2 FROM orders":                                              -1,
		"SELECT 'mart_2.a":                                                    -1,
		"SELECT 1 FROM sales.orders, _5.x, 5.0":                               -1,
		"SELECT 1 FROM sales_99999999999.orders":                              -1,
		"":                                                                    -1,
	} {
		if n, found := Group([]byte(text)); found != (want >= 0) || found && int(n) != want {
			t.Errorf("%q: %d %v, want %d", text, n, found, want)
		}
	}
}

// FuzzGroup checks that Group does not panic and that comments and strings before a text do not change the result.
func FuzzGroup(f *testing.F) {
	for _, s := range []string{
		"SELECT * FROM sales_17.orders", "--", "/*/", "'", `"`, "a_1.b", "a_1",
		"staging_1.x ops_3.y",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n, found := Group(text)
		before := append([]byte("/* a_1.b */ 'c_2.d' -- e_3.f\n"), text...)
		if n2, found2 := Group(before); n2 != n || found2 != found {
			t.Fatalf("%q: %d %v, but %d %v behind a comment", text, n, found, n2, found2)
		}
	})
}
