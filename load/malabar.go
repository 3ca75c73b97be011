package load

import (
	"time"

	"foxtailmux/model"
)

func init() {
	RegisterPreset("malabar", malabar)
}

// malabar is the workload of a quoting service whose callers wait for each
// answer.
func malabar() Preset {
	return Preset{
		Name:        "malabar",
		Pool:        "quoting",
		Workers:     50,
		Slots:       8,
		RackSize:    6,
		DataCentres: []string{"kochi", "thiruvananthapuram", "kozhikode", "thrissur"},
		Capacity:    model.Resources{Cores: 64, MemoryMB: 128 << 10},
		OneWayDelay: time.Millisecond,
		Services: []Service{{
			Name:        "quote",
			Weight:      1,
			MedianTasks: 5,
			SigmaTasks:  0.9,
			MaxTasks:    120,
			RunTime: RunTime{
				Median: 180 * time.Millisecond, Sigma: 0.8,
				Min: 50 * time.Millisecond, Max: time.Second,
				LongShare: 0.01, Longest: 4 * time.Second,
			},
			Deadline:    10 * time.Second,
			TicketShare: 0.6,
			KeyShare:    0.05,
			Needs:       model.Resources{Cores: 4, MemoryMB: 4 << 10},
			EchoBytes:   256,
		}},
		Teams: []Team{
			{Name: "counter", Weight: 0.5},
			{Name: "gyms", Weight: 0.25},
			{Name: "schools", Weight: 0.15},
			{Name: "wellness", Weight: 0.1},
		},
		Burst:            Burst{MeanInterval: 10 * time.Second, Length: time.Second, RateFactor: 4, TeamShare: 0.7},
		CancelWaves:      CancelWaves{MeanInterval: 8 * time.Second, Window: time.Second, Share: 0.3},
		NeverFitsShare:   0.005,
		MisdeclaredShare: 0.2,
		ResubmitShare:    0.03,
		MaxResubmitWait:  500 * time.Millisecond,
	}
}
