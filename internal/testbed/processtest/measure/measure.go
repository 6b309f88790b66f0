// Package measure times groups of real processes that hold copies for each other. Its figures are of the machine that it runs on.
package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// CostResult is what a number of copies costs.
type CostResult struct {
	Replicas  int // 0: off
	Served    int
	PerSecond float64
	P50, P99  time.Duration
	SyncsEach float64 // of all servers, an intake
	BytesEach float64 // of records on all disks, an intake
	Memory    int     // bytes, of the server that was asked
	NotServed int
}

// Cost has callers send intakes to one server, each after the answer to the one before.
func Cost(program string, settings json.RawMessage, copies, callers int, length time.Duration) (r CostResult, err error) {
	g, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  program,
		Settings: settings,
		Servers:  max(copies, 1),
		Replicas: max(copies, 1),
	})
	if g != nil {
		defer func() { err = errors.Join(err, g.Close()) }()
	}
	if err != nil {
		return r, err
	}
	if r.Replicas = copies; copies == 0 {
		g.Servers[0].ReplicationFile = "" // off, as it ships
		err = g.Start(1)
	} else {
		err = g.StartAll()
	}
	if err != nil {
		return r, err
	}
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var missed atomic.Int64
	until := time.Now().Add(length)
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := processtest.Dial(g.Servers[0].Listen)
			if err != nil {
				missed.Add(1)
				return
			}
			defer c.Close()
			for j := 0; time.Now().Before(until); j++ {
				key := fmt.Sprintf("lot %d/%d", i, j)
				began := time.Now()
				a, err := c.Send(processtest.Request{Class: "lot-intake", Key: key, Body: key, ArrivedAt: began})
				var p thrift.Reply
				if err == nil {
					p, err = a.Await()
				}
				if err != nil || p.Kind != thrift.ReplyAnswer {
					missed.Add(1)
					continue
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	r.Served, r.NotServed = int(hist.TotalCount()), int(missed.Load())
	r.PerSecond = float64(r.Served) / length.Seconds()
	r.P50, r.P99 = time.Duration(hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(hist.ValueAtQuantile(99))*time.Microsecond
	r.Memory = g.Servers[0].Process.Memory()
	if copies == 0 {
		return r, nil
	}
	for _, m := range g.Servers {
		s, err := g.State(m.ID)
		if err != nil {
			return r, err
		}
		r.SyncsEach += float64(s.Counters.DiskSyncs) / float64(r.Served)
		r.BytesEach += float64(s.Counters.DiskBytes) / float64(r.Served)
	}
	return r, nil
}

// RepairResult is how long it took to bring a lost server's copies back.
type RepairResult struct {
	Keys   int
	Took   time.Duration
	Memory int // bytes, of the server that was lost, once it is whole
}

// Repair fills a group of three, loses one with its disk, and waits until it holds all again. rate is the bound on keys a second.
func Repair(program string, settings json.RawMessage, holdings, rate, atOnce int) (r RepairResult, err error) {
	g, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:    program,
		Settings:   settings,
		Servers:    3,
		Replicas:   3,
		ExtraLines: []string{fmt.Sprintf("repair_keys_per_s = %d", rate), fmt.Sprintf("repair_at_once = %d", atOnce)},
	})
	if g != nil {
		defer func() { err = errors.Join(err, g.Close()) }()
	}
	if err != nil {
		return r, err
	}
	for _, m := range g.Servers {
		m.MemoryMB = 1024
	}
	if err := g.StartAll(); err != nil {
		return r, err
	}
	var wg sync.WaitGroup
	var next atomic.Int64
	for i := range 48 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := processtest.Dial(g.Servers[i%3].Listen)
			if err != nil {
				return
			}
			defer c.Close()
			for n := next.Add(1); n <= int64(holdings); n = next.Add(1) {
				key := fmt.Sprintf("lot %d", n)
				if a, err := c.Send(processtest.NewIntake(key)); err == nil {
					_, _ = a.Await()
				}
			}
		}()
	}
	wg.Wait()
	s, err := g.State(1)
	if err != nil {
		return r, err
	}
	r.Keys = s.Counters.Held
	if err := errors.Join(g.Kill(3), g.Wipe(3)); err != nil {
		return r, err
	}
	began := time.Now()
	if err := g.Start(3); err != nil {
		return r, err
	}
	for time.Since(began) < 10*time.Minute {
		s, err := g.State(3)
		if err == nil && s.Counters.Held >= r.Keys && !s.Changing && g.AwaitStable() == nil {
			r.Took, r.Memory = time.Since(began), g.Servers[2].Process.Memory()
			return r, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return r, errors.New("measure: the repair does not come to an end")
}

// SecondCounts is what callers were told within a second.
type SecondCounts struct{ Served, Rejected, Indeterminate, Unanswered int }

// Loss has callers send intakes to all three servers at a steady rate, each once, while one is lost with its disk and comes back.
func Loss(program string, settings json.RawMessage, seconds, lost, back, rate int) (out []SecondCounts, err error) {
	g, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  program,
		Settings: settings,
		Servers:  3,
		Replicas: 3,
	})
	if g != nil {
		defer func() { err = errors.Join(err, g.Close()) }()
	}
	if err != nil {
		return nil, err
	}
	if err := g.StartAll(); err != nil {
		return nil, err
	}
	out = make([]SecondCounts, seconds)
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	at := func(s int) { time.Sleep(time.Until(began.Add(time.Duration(s) * time.Second))) }
	var faults error
	wg.Add(1)
	go func() {
		defer wg.Done()
		at(lost)
		faults = errors.Join(g.Kill(1), g.Wipe(1))
		at(back)
		faults = errors.Join(faults, g.Start(1))
	}()
	for n := range seconds * rate {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprint("lot ", n)
			told, err := g.Send(1+n%3, processtest.NewIntake(key))
			mu.Lock()
			defer mu.Unlock()
			s := &out[n/rate]
			switch {
			case err != nil:
				s.Unanswered++
			case told.Kind == thrift.ReplyAnswer:
				s.Served++
			case told.Kind == thrift.ReplyThrottled:
				s.Rejected++
			default:
				s.Indeterminate++
			}
		}()
	}
	wg.Wait()
	return out, faults
}

// Plot draws the seconds of a Kill into a file, whose name tells the kind.
func Plot(seconds []SecondCounts, path string) error {
	p := plot.New()
	p.Title.Text = "Intakes by second while one of three servers is lost with its disk and comes back"
	p.X.Label.Text, p.Y.Label.Text = "second", "intakes"
	p.Y.Min, p.Legend.Top = 0, true
	for _, l := range []struct {
		name  string
		color color.Color
		of    func(SecondCounts) int
	}{
		{"served", color.RGBA{0, 110, 60, 255}, func(s SecondCounts) int { return s.Served }},
		{"refused before they ran", color.RGBA{200, 130, 0, 255}, func(s SecondCounts) int { return s.Rejected }},
		{"not known", color.RGBA{190, 0, 0, 255}, func(s SecondCounts) int { return s.Indeterminate }},
		{"connection refused or broken", color.RGBA{120, 120, 120, 255}, func(s SecondCounts) int { return s.Unanswered }},
	} {
		xy := make(plotter.XYs, len(seconds))
		for i, s := range seconds {
			xy[i] = plotter.XY{X: float64(i), Y: float64(l.of(s))}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color, line.Width = l.color, vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, path)
}
