package fakes_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/table"
)

func TestFleetRegistersWorkersRackByRack(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{})
	fleet, err := fakes.StartFleet(fakes.FleetOptions{Count: 5, Name: "w", Pool: "p", DataCentres: []string{"a", "b"}, RackSize: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	for _, w := range fleet.Workers {
		if err := fakes.Register(p.Addr(), w.Describe()); err != nil {
			t.Fatal(err)
		}
	}

	var list model.InstanceList
	mustSend(t, http.MethodGet, "http://"+p.Addr()+table.InstancesPath, nil, &list)
	var places []string
	for i, w := range list.Workers {
		places = append(places, w.ID+" "+w.DataCentre+" "+w.Rack)
		if diff := cmp.Diff(fleet.Workers[i].Describe(), w); diff != "" {
			t.Errorf("worker (-want +got):\n%s", diff)
		}
	}
	want := []string{"w-001 a a-rack-01", "w-002 a a-rack-01", "w-003 b b-rack-02", "w-004 b b-rack-02", "w-005 a a-rack-03"}
	if diff := cmp.Diff(want, places); diff != "" {
		t.Errorf("places (-want +got):\n%s", diff)
	}

	p.SetFaults(fakes.PlatformFaults{Down: true})
	var failure *fakes.Error
	if err := fakes.Register(p.Addr(), list.Workers[0]); !errors.As(err, &failure) || failure.Kind != fakes.KindRegister {
		t.Errorf("registration while the platform is down: %v", err)
	}
}
