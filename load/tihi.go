package load

import (
	"time"

	"foxtailmux/model"
)

func init() {
	RegisterPreset("tihiZvok", tihiZvok)
}

// tihiZvok is the workload of an audio catalogue: repeatable previews of few
// tasks, sessions of many tasks, and bookmarks of one task that must run at most
// once.
func tihiZvok() Preset {
	return Preset{
		Name:        "tihiZvok",
		Pool:        "catalogue",
		Workers:     50,
		Slots:       8,
		RackSize:    8,
		DataCentres: []string{"osrednja1", "osrednja2", "osrednja3"},
		Capacity:    model.Resources{Cores: 16, MemoryMB: 32 << 10},
		OneWayDelay: 1500 * time.Microsecond,
		Services:    []Service{preview(), session(), bookmark()},
		Teams: []Team{
			{Name: "citizens", Weight: 0.6},
			{Name: "clinics", Weight: 0.25},
			{Name: "schools", Weight: 0.15},
		},
		Burst:            Burst{MeanInterval: 12 * time.Second, Length: 1500 * time.Millisecond, RateFactor: 3, TeamShare: 0.7},
		CancelWaves:      CancelWaves{MeanInterval: 10 * time.Second, Window: time.Second, Share: 0.3},
		NeverFitsShare:   0.005,
		MisdeclaredShare: 0.2,
		ResubmitShare:    0.03,
		MaxResubmitWait:  500 * time.Millisecond,
	}
}

func preview() Service {
	return Service{
		Name:        "preview",
		Weight:      0.6,
		MedianTasks: 1.5,
		SigmaTasks:  0.5,
		MaxTasks:    8,
		RunTime: RunTime{
			Median: 90 * time.Millisecond, Sigma: 0.5,
			Min: 50 * time.Millisecond, Max: 500 * time.Millisecond,
		},
		Deadline:    5 * time.Second,
		Repeatable:  true,
		TicketShare: 0.2,
		Needs:       model.Resources{Cores: 1, MemoryMB: 1 << 10},
		EchoBytes:   1024,
	}
}

func session() Service {
	return Service{
		Name:        "session",
		Weight:      0.15,
		MedianTasks: 18,
		SigmaTasks:  0.8,
		MaxTasks:    230,
		RunTime: RunTime{
			Median: 350 * time.Millisecond, Sigma: 0.7,
			Min: 50 * time.Millisecond, Max: time.Second,
			LongShare: 0.01, Longest: 5 * time.Second,
		},
		Deadline:    20 * time.Second,
		TicketShare: 0.9,
		Needs:       model.Resources{Cores: 2, MemoryMB: 4 << 10},
		EchoBytes:   256,
	}
}

func bookmark() Service {
	return Service{
		Name:        "bookmark",
		Weight:      0.25,
		MedianTasks: 1,
		MaxTasks:    1,
		RunTime: RunTime{
			Median: 60 * time.Millisecond, Sigma: 0.3,
			Min: 50 * time.Millisecond, Max: 200 * time.Millisecond,
		},
		Deadline:    5 * time.Second,
		TicketShare: 0.5,
		KeyShare:    0.5,
		Needs:       model.Resources{Cores: 1, MemoryMB: 512},
	}
}
