package config

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// shortDigestDigits is how many hex digits of a digest tables show.
const shortDigestDigits = 12

// CheckReport is the outcome of Check. Digest is empty if there are problems.
type CheckReport struct {
	Folder   string   `json:"folder"`
	Digest   string   `json:"digest,omitempty"`
	Problems Problems `json:"problems"`
}

// Check loads a folder and reports every rule that it breaks. The error is set
// only if the folder could not be read.
func Check(folder string, plugins Plugins) (CheckReport, error) {
	r := CheckReport{Folder: folder, Problems: Problems{}}
	doc, err := Load(folder, plugins)
	if err == nil {
		r.Digest = doc.Digest()
		return r, nil
	}

	if !errors.As(err, &r.Problems) {
		return CheckReport{}, err
	}
	return r, nil
}

// WriteTable writes the report as text.
func (r CheckReport) WriteTable(w io.Writer) error {
	for _, p := range r.Problems {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
	}
	if len(r.Problems) > 0 {
		_, err := fmt.Fprintf(w, "%d rules broken\n", len(r.Problems))
		return err
	}
	_, err := fmt.Fprintf(w, "%s is valid, digest %s\n", r.Folder, r.Digest)
	return err
}

// DiffReport lists the changes that applying a folder would make to the newest
// stored version. Number is that version's, 0 if there is none yet.
type DiffReport struct {
	Number     int64    `json:"number"`
	FromDigest string   `json:"fromDigest,omitempty"`
	ToDigest   string   `json:"toDigest"`
	Changes    []Change `json:"changes"`
}

// DiffFolder compares a folder with the newest stored version.
func DiffFolder(ctx context.Context, store Reader, folder string, plugins Plugins) (DiffReport, error) {
	doc, err := Load(folder, plugins)
	if err != nil {
		return DiffReport{}, err
	}
	return DiffDocument(ctx, store, doc)
}

// DiffDocument compares a document with the newest stored version.
func DiffDocument(ctx context.Context, store Reader, doc Document) (DiffReport, error) {
	current, err := ReadNewest(ctx, store)
	if err != nil && KindOf(err) != KindNoVersion {
		return DiffReport{}, err
	}
	return DiffReport{
		Number:     current.Number,
		FromDigest: current.Digest,
		ToDigest:   doc.Digest(),
		Changes:    Diff(current.Document, doc),
	}, nil
}

// WriteTable writes the report as text.
func (r DiffReport) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "in force: version %d %s\nfolder:   %s\n", r.Number, shortenDigest(r.FromDigest), shortenDigest(r.ToDigest)); err != nil {
		return err
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d changes\n", len(r.Changes))
	return err
}

// WriteTable writes the result as text.
func (a ApplyResult) WriteTable(w io.Writer) error {
	outcome := "applied"
	if a.Unchanged {
		outcome = "already in force, nothing changed"
	}
	_, err := fmt.Fprintf(w, "%s: %s, digest %s, change %s\n", outcome, a.Entry, shortenDigest(a.Entry.Digest), a.Entry.ChangeID)
	return err
}

// WriteTable writes the history as a text table.
func (r HistoryReport) WriteTable(w io.Writer) error {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "VERSION\tWHEN\tWHO\tDIGEST\tCHANGE\tWHY")
	for _, e := range r.Entries {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Number, e.When.Format(time.RFC3339), e.Who, shortenDigest(e.Digest), e.ChangeID, e.Why)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := r.writeChanges(w); err != nil {
		return err
	}

	for _, p := range r.Problems {
		if _, err := fmt.Fprintf(w, "broken: %s\n", p); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "hash chain verified: %t\n", r.Verified)
	return err
}

// WriteTable writes the statuses as a text table.
func (r StatusReport) WriteTable(w io.Writer) error {
	t := newTable(w)
	_, _ = fmt.Fprintln(t, "INSTANCE\tDATA CENTRE\tADDRESS\tVERSION\tDIGEST\tIN FORCE FOR\tERROR")
	for _, s := range r.Instances {
		if s.Status == nil {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t-\t-\t-\t%s\n",
				cmp.Or(s.Instance, "-"), cmp.Or(s.DataCentre, "-"), cmp.Or(s.Addr, "-"), s.Error)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.Status.Instance, s.Status.DataCentre, s.Addr,
			s.Status.Version, shortenDigest(s.Status.Digest), ageText(s.Status.SinceMillis), cmp.Or(s.Status.Error, "-"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "same version everywhere: %t\n", r.Same)
	return err
}

func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 8, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

// ageText formats an age of Status in milliseconds, of which -1 stands for never.
func ageText(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

func shortenDigest(digest string) string {
	return digest[:min(len(digest), shortDigestDigits)]
}
