package ticket

import (
	"encoding/json"
	"testing"
)

// FuzzImportKeepsItsBounds checks that no handover brings the store above its limit
// of ids or makes it begin an id twice.
func FuzzImportKeepsItsBounds(f *testing.F) {
	for _, seed := range []string{
		`{"spaces":[{"incarnation":"00000000000000aa","next":4,"unused":[{"first":0,"end":2,"leftMillis":1000}],"answered":[{"counter":2,"digest":"d","leftMillis":1000,"answer":{"jobId":"x","result":"complete"}}]}]}`,
		`{"spaces":[{"incarnation":"00000000000000aa","next":18446744073709551615,"unused":[{"first":0,"end":18446744073709551615}]}]}`,
		`{"spaces":[{"incarnation":"00000000000000aa","next":9,"unused":[{"first":0,"end":9}],"answered":[{"counter":3},{"counter":3}]}]}`,
		`{"spaces":[{"incarnation":"00000000000000bb","next":1,"unused":[{"first":0,"end":1,"leftMillis":9}]}]}`,
		`{"part":-1,"parts":-1,"spaces":[{"incarnation":"x"}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Handover
		if json.Unmarshal(text, &h) != nil {
			return
		}
		s := NewStore(adopter, fixed(Limits{MaxHeldIDs: 50, Retention: 1 << 40}))
		defer s.Close()
		err := s.Import(h)
		held, open := s.Size()
		if held < 0 || held > maxImportFactor*50 || open != 0 || (err != nil && held != 0) {
			t.Fatalf("%d ids held, %d open, error %v", held, open, err)
		}
		for _, q := range h.Sequences {
			for counter := range min(q.Next, 100) {
				id := ID{Incarnation: q.Incarnation, Counter: counter}.String()
				if _, first, err := s.Begin(id, "d"); err == nil && first {
					if _, again, err := s.Begin(id, "d"); err != nil || again {
						t.Fatalf("%s began twice: %v", id, err)
					}
				}
			}
		}
	})
}
