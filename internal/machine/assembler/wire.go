package assembler

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/link/exchanger"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/billholder"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/dispatcher"
	"example.com/dotterelwell/internal/request/handler"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/request/relayer"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/version/chooser"
	"example.com/dotterelwell/internal/version/estimator"
	"example.com/dotterelwell/internal/version/judge"
	"example.com/dotterelwell/internal/version/roller"
	"example.com/dotterelwell/internal/version/signer"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/lender"
	"example.com/dotterelwell/internal/zone/warmer"
	"example.com/dotterelwell/internal/zone/watcher"
)

// configWatchers is the number of instances of a zone that watch the store.
const configWatchers = 2

// wireLinks builds what connects the instance to its peers.
func (n *Node) wireLinks() error {
	n.Connector = &connector.Connector{DialFunc: n.outside.DialFunc}
	if err := n.loadKeys(); err != nil {
		return err
	}
	n.Enroller = &enroller.Enroller{
		Clock: n.Clock, Instance: n.Settings.Instance, Incarnation: n.Incarnation, Zone: n.Settings.Zone,
		OnPaused: n.paused,
	}
	n.Keeper = &keeper.Keeper{Clock: n.Clock, OnRejected: n.rejected, OnApplied: n.applied}
	n.Tallier = &tallier.Tallier{Clock: n.Clock, Owner: n.Incarnation}
	n.Exchanger = &exchanger.Exchanger{
		Clock: n.Clock, Instance: n.Settings.Instance, Incarnation: n.Incarnation,
		Connector: n.Connector, Enroller: n.Enroller, Keeper: n.Keeper, Chronicler: n.Chronicler, Tallier: n.Tallier,
		StatusFunc: n.Status, UrgentFunc: n.rolling,
	}
	n.Exchanger.Init()
	return nil
}

func (n *Node) loadKeys() error {
	const op = "load keys"
	k := n.Settings.Keys
	if k.PeerKeyFile != "" {
		raw, err := os.ReadFile(k.PeerKeyFile)
		if err != nil {
			return fault.New(op, KindKeys, err)
		}
		n.Connector.Key = bytes.TrimSpace(raw)
	}
	if k.CAFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return fault.New(op, KindKeys, err)
	}
	raw, err := os.ReadFile(k.CAFile)
	if err != nil {
		return fault.New(op, KindKeys, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return fault.Newf(op, KindKeys, "%s holds no certificate", k.CAFile)
	}
	n.Connector.ServerTLS = &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: roots,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	n.Connector.ClientTLS = peerTLS(cert, roots)
	return nil
}

// peerTLS returns the client side of the peers' TLS. Peers are reached by IP address
// and listed by the platform, so a certificate is checked against the authority and
// not against a host name.
func peerTLS(cert tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			between := x509.NewCertPool()
			for _, c := range state.PeerCertificates[1:] {
				between.AddCert(c)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between})
			return err
		},
	}
}

// wireFleet builds what the instances decide together: configuration and warmth.
func (n *Node) wireFleet() {
	n.Watcher = &watcher.Watcher{
		Clock: n.Clock, Store: n.outside.Store, Keeper: n.Keeper,
		DutyFunc:      n.watches,
		OnStoreAnswer: n.storeAnswered,
	}
	n.Lender = &lender.Lender{Clock: n.Clock, UsageFunc: n.Exchanger.PeerUsage}
	n.Exchanger.LendFunc = n.lend
	n.Warmer = &warmer.Warmer{
		Clock: n.Clock, SettleDelay: n.Settings.Limits.Settle,
		DutyFunc:      n.warmingDuty,
		PeerUsageFunc: n.Lender.PeerUsage,
		HolderFunc:    n.warmingHolder,
		OnLocalChange: n.foundWarmth,
		OnChange:      n.warmthChanged,
	}
	n.Exchanger.OnWarmth = func(news warmer.Warmth) { n.Warmer.Merge(news) }
	n.Admitter = &admitter.Admitter{Clock: n.Clock, QueueLimit: n.Settings.Limits.Queue}
	n.Registrar = &registrar.Registrar{
		Clock: n.Clock, Zone: n.Settings.Zone, Region: n.Settings.Region, Instance: n.Settings.Instance,
		SubsetSize: n.Settings.Limits.Subset, Warmer: n.Warmer, ViewFunc: n.Keeper.View, OnFreed: n.Admitter.Wake,
	}
	n.Registrar.OnRefused = n.askLoad
	n.outside.Inferrer.OnLoad = func(address ident.Address, load chat.Load) {
		n.Registrar.Report(address, load, n.Registrar.Epoch(address))
	}
	n.outside.Inferrer.OnMismatchedFrame = func(ident.Address, ident.Request) { n.Meter.DroppedFrames.Inc() }
}

// askLoad asks a server that refused a request for its load, because it may have
// turned cold.
func (n *Node) askLoad(_ ident.Server, address ident.Address, epoch uint64) {
	n.Pool.Submit(func(ctx context.Context) {
		if load, err := n.outside.Inferrer.Load(ctx, address); err == nil {
			n.Registrar.Report(address, load, epoch)
		}
	})
}

// watches reports whether this instance watches the store for its zone, among the given number of times as many as usual.
func (n *Node) watches(times int) bool {
	return n.Enroller.IsZoneHolder("watch-config", configWatchers*times)
}

func (n *Node) warmingDuty(server ident.Server) warmer.Duty {
	held, since := n.Enroller.HoldsGuarded("warm/" + string(server))
	return warmer.Duty{Held: held, Since: since}
}

// warmingHolder returns the instance with a server's warming duty, or "" while this
// process cannot be sure of the list.
func (n *Node) warmingHolder(server ident.Server) ident.Instance {
	if !n.Enroller.ListCurrent() {
		return ""
	}
	holder, _ := n.Enroller.Holder("warm/" + string(server))
	return holder
}

// lend gives a peer a place at a cold server whose duty this instance holds, or takes
// it back.
func (n *Node) lend(server ident.Server, borrower ident.Instance, giveBack bool) bool {
	if giveBack {
		n.Lender.Return(server, borrower)
		n.Admitter.Wake()
		return true
	}
	if n.warmingDuty(server).Held && !n.Warmer.Warm(server) && n.Lender.Renew(server, borrower) {
		return true
	}
	return n.Registrar.Lend(server, func() { n.Lender.Lend(server, borrower) })
}

// foundWarmth spreads a change that this instance found itself.
func (n *Node) foundWarmth(news warmer.Warmth) {
	n.Exchanger.Warmth.Merge(news.Server, news)
	n.nudge()
}

func (n *Node) warmthChanged(news warmer.Warmth) {
	kind := chronicler.KindServerCold
	if news.Warm {
		kind = chronicler.KindServerWarm
	}
	n.Chronicler.Record(kind, "", string(news.Server), fmt.Sprintf("epoch %d", news.Epoch))
	n.Registrar.WarmthChanged(news.Server, news.Warm)
}

// nudge tells peers of urgent news in the background.
func (n *Node) nudge() {
	n.Pool.Submit(func(ctx context.Context) { n.Exchanger.Nudge(ctx) })
}

// wireVersions builds what decides between versions.
func (n *Node) wireVersions() {
	n.Estimator = &estimator.Estimator{Clock: n.Clock, Tallier: n.Tallier}
	n.Judge = &judge.Judge{Clock: n.Clock, ViewFunc: n.Keeper.View, Tallier: n.Tallier, OnBad: n.foundBad}
	n.Exchanger.OnBlock = func(ref declaration.Ref, b exchanger.Block) {
		if n.Judge.Block(ref, b.Reason, b.At) {
			n.nudge() // pass urgent news on before the next round
		}
	}
	n.Roller = &roller.Roller{
		Clock: n.Clock, Store: n.outside.Store, ViewFunc: n.Keeper.View, Judge: n.Judge,
		VersionFunc: n.progressVersion,
		DutyFunc: func(model declaration.ModelName) bool {
			_, own := n.Enroller.Holder("rollout/" + string(model))
			return own
		},
		OnStep: func(model declaration.ModelName, detail string) {
			n.Chronicler.Record(chronicler.KindRolloutStep, "", string(model), detail)
			klog.InfoS("Roll-out moved", "model", model, "detail", detail)
		},
		OnWritten: func(o storer.Object) { n.Keeper.Apply(storer.Changes{Objects: []storer.Object{o}}) },
	}
	n.Chooser = &chooser.Chooser{
		Clock: n.Clock, ViewFunc: n.Keeper.View, Estimator: n.Estimator,
		BlockedFunc: n.Judge.Blocked, HasServerFunc: n.Registrar.Serves, RaterAvailableFunc: n.rates,
	}
}

// rolling reports whether a version is a side of a roll-out that is under way.
func (n *Node) rolling(ref declaration.Ref) bool {
	view := n.Keeper.View()
	v := view.VersionOf(ref)
	if v == nil || v.Rollout == nil {
		return false
	}
	p, found := view.Progress(ref.Model)
	return found && p.Phase == order.PhaseRunning
}

// foundBad spreads and records that this instance found a version bad.
func (n *Node) foundBad(ref declaration.Ref, reason string) {
	n.Meter.VersionsBad.Inc()
	n.Chronicler.Record(chronicler.KindVersionBad, "", ref.String(), reason)
	klog.InfoS("Version found bad", "version", ref, "reason", reason)
	n.Exchanger.Blocks.Merge(ref, exchanger.Block{Reason: reason, By: n.Settings.Instance, At: n.Clock.Now()})
	n.nudge()
	n.Pool.Submit(func(ctx context.Context) { n.Roller.Withdraw(ctx, ref, reason) })
}

// wireRequests builds the path of a request.
func (n *Node) wireRequests() {
	l := n.Settings.Limits
	n.Budget = &pacer.MemoryBudget{Limit: l.StreamBytes}
	retries := &retrier.Budget{Clock: n.Clock}
	n.wireClaims()
	n.wireBills()
	n.Relayer = &relayer.Relayer{
		Clock: n.Clock, Inferrer: n.outside.Inferrer, RetryBudget: retries,
		Timeouts: relayer.Timeouts{Header: l.HeaderGap, FirstToken: l.FirstTokenGap, NextToken: l.TokenGap},
		OnResume: n.resumed,
	}
	n.Conductor = &conductor.Conductor{
		Clock: n.Clock, ViewFunc: n.Keeper.View, Registrar: n.Registrar, Admitter: n.Admitter,
		Relayer: n.Relayer, Rater: n.outside.Rater, Budget: n.Budget, Chooser: n.Chooser,
		OnResult: n.learnResult, OnRating: n.learnRating, OnRaterCall: n.raterAnswered,
		ShouldRateFunc: n.sample,
		BackgroundFunc: func(task func(context.Context)) { n.Pool.Submit(task) },
		OnDispatch:     n.dispatched,
	}
	n.Dispatcher = &dispatcher.Dispatcher{
		Clock: n.Clock, ViewFunc: n.Keeper.View, Registrar: n.Registrar, Admitter: n.Admitter,
		Forwarder: n.outside.Forwarder, Claimer: n.Claimer, Retrier: retries,
		LiveFunc: n.Enroller.Alive, OnDispatch: n.dispatchedCall, OnClaim: n.claimDecided,
	}
	n.Handler = &handler.Handler{
		Clock: n.Clock, ViewFunc: n.Keeper.View, Conductor: n.Conductor, Dispatcher: n.Dispatcher,
		Biller: n.Biller, Signer: &signer.Signer{Clock: n.Clock}, Budget: n.Budget, RefusalFunc: n.gate,
		OnRequestStart: n.begun, OnRequestEnd: n.finished, OnUnstoredBill: n.billAtRisk,
		BodyBytes: l.BodyBytes, PromptTimeout: l.PromptTimeout, PatientTimeout: l.PatientTimeout,
		StreamBufferBytes: l.WindowBytes, StallTimeout: l.StallLimit,
	}
}

func (n *Node) wireClaims() {
	l := n.Settings.Limits
	n.Claimer = &claimer.Claimer{
		Clock: n.Clock, Store: n.outside.Store, Pool: n.Pool, Owner: n.Incarnation,
		Shards: l.ClaimShards, Retention: l.ClaimRetention,
		WriteEvery: clock.Second * clock.Millis(l.ClaimShards) / clock.Millis(n.Settings.Platform.WriteBudget),
		HolderFunc: func(shard int) (ident.Instance, bool) {
			return n.Enroller.Holder(fmt.Sprintf("claim/%d", shard))
		},
		ForwardFunc: n.Exchanger.Forward,
		OutcomeFunc: n.Exchanger.Outcome,
	}
	n.Claimer.Open()
	n.Exchanger.ClaimFunc = n.Claimer.Serve
	n.Exchanger.OutcomeFunc = n.Claimer.Outcome
}

func (n *Node) wireBills() {
	n.Biller = &biller.Biller{
		Clock: n.Clock, Store: n.outside.Store, Owner: n.Incarnation, BacklogLimit: n.Settings.Limits.BillBytes,
		FlushIntervalFunc: n.billInterval,
		HolderFunc:        n.billPeer,
		HoldFunc:          n.Exchanger.Hold,
		OnSegmentDurable: func(records int) {
			n.Meter.BillsWritten.Add(float64(records))
			n.Chronicler.Record(chronicler.KindBillsWritten, "", "", fmt.Sprintf("%d records", records))
		},
	}
	n.Billholder = &billholder.Holder{Store: n.outside.Store}
	n.Exchanger.HoldFunc = n.Billholder.Hold
}

// billInterval spaces segments so that the whole fleet keeps to its write budget.
func (n *Node) billInterval() clock.Millis {
	return clock.Second * clock.Millis(len(n.Enroller.Live())) / clock.Millis(n.Settings.Platform.BillBudget)
}

// billPeer returns the peer that holds this instance's bills: one of another zone
// when there is one, and one that has answered lately.
func (n *Node) billPeer() ident.Instance {
	var near, far []string
	for _, p := range n.Enroller.Peers() {
		if p.Leaving || !n.Enroller.Responsive(p.Instance) {
			continue
		}
		if p.Zone == n.Settings.Zone {
			near = append(near, string(p.Instance))
			continue
		}
		far = append(far, string(p.Instance))
	}
	if len(far) == 0 {
		far = near
	}
	return ident.Instance(billHash.Best(string(n.Settings.Instance), far))
}

func (n *Node) billAtRisk(r bill.Record) {
	n.Meter.BillsAtRisk.Inc()
	n.Chronicler.Record(chronicler.KindBillAtRisk, r.Request, string(r.ID), "")
}

func (n *Node) paused(gap clock.Millis) {
	n.Meter.Pauses.Inc()
	n.Chronicler.Record(chronicler.KindPaused, "", "", fmt.Sprintf("%d ms", gap))
	klog.InfoS("Process was paused", "gap-ms", int64(gap))
}
