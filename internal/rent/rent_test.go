package rent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/internal/standin"
	"lynxledge/wire"
)

// lead runs a renter that leads, over a cloud that has limit machines of one
// type, with a service that waits for one.
func lead(t *testing.T, limit int, f func(l *ledger.Ledger, c *standin.Cloud)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cfg := &config.Config{Ops: config.DefaultOps()}
		cfg.Ops.Headroom = 0
		cfg.Params.Workers = config.Workers{ReportS: 3, LeaseS: 34, CancelS: 64}
		cfg.Params.State = config.State{ValueKB: 8, TxnOps: 8}
		cfg.Params.Cloud = config.Cloud{RPS: 3, ListLagS: 10}
		cfg.Params.Teams = []config.Team{{Name: "red"}}
		types := []wire.MachineType{{Name: "s", CPUs: 4, MemoryGB: 16, Price: 1, BootS: 25, Zones: []string{"a"}}}
		net := standin.NewNet(1, time.Millisecond)
		conn := &standin.Conn{State: standin.NewState(), Net: net, Node: "n0", Timeout: time.Second}
		chunk := ledger.ChunkTasks(8)
		l := ledger.Start(ctx, conn, ledger.Options{ChunkTasks: chunk, Hold: time.Second, MaxAge: time.Second, Backoff: 100 * time.Millisecond})
		cloud := standin.NewCloud(1, types, limit, 10*time.Second, func(h wire.Host) *standin.Worker {
			return standin.NewWorker(ctx, h, standin.WorkerOptions{
				Report: 3 * time.Second, Lease: 34 * time.Second, Nodes: []string{"n0"}, Net: net, Rules: standin.NewRules(cfg.Params),
				Post: func(string) standin.Post { return nil },
			}, 0)
		})
		r := Start(ctx, cfg, 7, l, &standin.CloudConn{Cloud: cloud, Net: net, Node: "n0", Timeout: 4 * time.Second, World: ctx},
			&standin.WorkerConn{Cloud: cloud, Net: net, Node: "n0", Timeout: time.Second}, func(*wire.Report) {})
		r.SetTypes(types)
		l.Run()
		time.Sleep(time.Second)
		l.Commit(ledger.Commit{Puts: []ledger.Put{
			{Key: ledger.LeaderKey, Rec: &ledger.Leader{Member: "n0", Boot: 7, Term: 1}},
			{Key: ledger.TermKey, Rec: &ledger.Term{Term: 1}},
			{Key: ledger.Key(ledger.KindJob, "req-000001"), Rec: &ledger.Job{Tasks: 1, At: time.Now().UnixMilli(), Spec: &wire.Job{
				ID: "req-000001", Team: "red", Shape: wire.ShapeService, Rank: wire.RankProd, Tasks: 1, CPUs: 4, MemoryGB: 1,
			}}},
		}}, func(ledger.Outcome) {})
		f(l, cloud)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The only machine of a pool that never comes up must not block the pool: it
// did for three boot times, with every replica of the zone waiting.
func TestStuckBootFreesItsPool(t *testing.T) {
	lead(t, 1, func(_ *ledger.Ledger, c *standin.Cloud) {
		c.Stick(1)
		time.Sleep(75 * time.Second) // 1.6 boots, a pass, and another boot
		if len(c.Up()) != 1 {
			t.Errorf("%d machines up", len(c.Up()))
		}
	})
}

// One waiting replica rents one machine, however many passes its boot takes.
func TestRentsOnce(t *testing.T) {
	lead(t, 5, func(_ *ledger.Ledger, c *standin.Cloud) {
		time.Sleep(24 * time.Second)
		if n := len(c.Up()); n != 1 {
			t.Errorf("%d machines up for one replica", n)
		}
	})
}
