package fakes_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/table"
)

func put(key, value string, version int64) table.Transaction {
	return table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Put{{Key: key, Value: json.RawMessage(value)}},
	}
}

func TestTransactionAppliesWholeOrNotAtAll(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	base := "http://" + p.Addr()

	var commit table.CommitResult
	status := mustSend(t, http.MethodPost, base+table.TransactionPath, put("a/b", "1", 0), &commit)
	if status != http.StatusOK || !commit.Committed {
		t.Fatalf("first insert: status %d, %+v", status, commit)
	}

	tx := put("a/c", "2", 0)
	tx.Conditions = append(tx.Conditions, table.Condition{Key: "a/b"})
	commit = table.CommitResult{}
	status = mustSend(t, http.MethodPost, base+table.TransactionPath, tx, &commit)
	present := table.Row{Key: "a/b", Value: json.RawMessage("1"), Version: 1}
	if diff := cmp.Diff(table.CommitResult{Conflicts: []table.Row{present}}, commit); diff != "" || status != http.StatusConflict {
		t.Errorf("status %d, commit (-want +got):\n%s", status, diff)
	}

	var row table.Row
	mustSend(t, http.MethodGet, base+table.RowsPath+"a%2Fc", nil, &row)
	if diff := cmp.Diff(table.Row{Key: "a/c"}, row); diff != "" {
		t.Errorf("row of the refused transaction (-want +got):\n%s", diff)
	}
}

func TestScanPagesInKeyOrder(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	base := "http://" + p.Addr()
	for _, key := range []string{"k3", "k1", "other", "k6", "k2", "k5", "k4", "k7"} {
		mustSend(t, http.MethodPost, base+table.TransactionPath, put(key, "0", 0), nil)
	}

	var pages []string
	after, more := "", true
	for more {
		var page table.ScanPage
		mustSend(t, http.MethodGet, base+table.ScanPath+"?prefix=k&limit=2&after="+after, nil, &page)
		for _, row := range page.Rows {
			pages = append(pages, row.Key)
			after = row.Key
		}
		more = page.More
	}
	if diff := cmp.Diff([]string{"k1", "k2", "k3", "k4", "k5", "k6", "k7"}, pages); diff != "" {
		t.Errorf("keys (-want +got):\n%s", diff)
	}
}

func TestLostResponseFollowsACommittedWrite(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	url := "http://" + p.Addr()
	mustSend(t, http.MethodPost, url+fakes.FaultsPath, map[string]any{"loseAnswers": 1}, nil)

	if status, err := send(newClient(t), http.MethodPost, url+table.TransactionPath, put("k", "7", 0), nil); err == nil {
		t.Fatalf("response arrived with status %d", status)
	}
	want := table.Row{Key: "k", Value: json.RawMessage("7"), Version: 1}
	if diff := cmp.Diff(want, p.Row("k")); diff != "" {
		t.Errorf("row (-want +got):\n%s", diff)
	}
	if status := mustSend(t, http.MethodPost, url+table.TransactionPath, put("k", "8", 1), nil); status != http.StatusOK {
		t.Errorf("write after the fault: status %d", status)
	}
	if diff := cmp.Diff(fakes.Counters{Writes: 2, LostResponses: 1}, p.Counters()); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}

func TestPlatformDownHasNoEffectAndEnds(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	url := "http://" + p.Addr()
	mustSend(t, http.MethodPost, url+fakes.FaultsPath, map[string]any{"down": true}, nil)

	for _, path := range []string{table.TransactionPath, table.RowsPath + "k", table.InstancesPath, table.ObjectsPath + "o"} {
		if status, err := send(newClient(t), http.MethodPost, url+path, put("k", "1", 0), nil); err == nil {
			t.Errorf("%s responded with status %d", path, status)
		}
	}
	if diff := cmp.Diff(fakes.Counters{}, p.Counters()); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}

	mustSend(t, http.MethodPost, url+fakes.FaultsPath, map[string]any{"down": false}, nil)
	if status := mustSend(t, http.MethodPost, url+table.TransactionPath, put("k", "1", 0), nil); status != http.StatusOK {
		t.Errorf("after the outage: status %d", status)
	}
}

func TestListFaults(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	url := "http://" + p.Addr()
	mustSend(t, http.MethodPut, url+table.InstancesPath+"/workers/w1", model.Worker{State: model.Live}, nil)
	mustSend(t, http.MethodPut, url+table.InstancesPath+"/entries/e1", model.Entry{State: model.Live}, nil)

	read := func(f fakes.PlatformFaults) (int, error) {
		p.SetFaults(f)
		var list model.InstanceList
		_, err := send(newClient(t), http.MethodGet, url+table.InstancesPath, nil, &list)
		return len(list.Workers) + len(list.Entries), err
	}
	if count, err := read(fakes.PlatformFaults{}); err != nil || count != 2 {
		t.Errorf("without a fault: %d instances, %v", count, err)
	}
	if count, err := read(fakes.PlatformFaults{ListLagMillis: 600_000}); err != nil || count != 0 {
		t.Errorf("with a lag: %d instances, %v", count, err)
	}
	if count, err := read(fakes.PlatformFaults{EmptyList: true}); err != nil || count != 0 {
		t.Errorf("empty list: %d instances, %v", count, err)
	}
	if _, err := read(fakes.PlatformFaults{ListDown: true}); err == nil {
		t.Error("the list was served while down")
	}

	mustSend(t, http.MethodDelete, url+table.InstancesPath+"/workers/w1", nil, nil)
	if count, err := read(fakes.PlatformFaults{}); err != nil || count != 1 {
		t.Errorf("after a removal: %d instances, %v", count, err)
	}
}

func TestCorruptObjectDiffers(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	mustSend(t, http.MethodPut, "http://"+p.Addr()+table.ObjectsPath+"o", "content", nil)
	get := func() string {
		response, err := newClient(t).Get("http://" + p.Addr() + table.ObjectsPath + "o")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}

	if got := get(); got != `"content"` {
		t.Errorf("object is %s", got)
	}
	p.SetFaults(fakes.PlatformFaults{CorruptObjects: true})
	if got := get(); got == `"content"` || len(got) != len(`"content"`) {
		t.Errorf("corrupt object is %s", got)
	}
}
