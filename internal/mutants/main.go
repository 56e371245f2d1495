// Command mutants removes each safety rule from a copy of the project, one at a time, and
// checks that the test named for the rule then fails. A test that passes without its rule
// does not check that rule.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// mutant removes one rule: it replaces old by new in file, which test in pkg must detect.
type mutant struct {
	rule      string
	file      string
	old, new  string
	pkg, test string
}

var mutants = []mutant{
	{"a permission expires", "permit/permit.go", "if !now.Before(k.NotAfter(v)) {", "if false {", "./permit", "TestWithdrawnWhileCut"},
	{"freshness depends only on the held document", "document/replica.go", "		r.freshAt = freshAt\n		return true", "		r.freshAt = freshAt.Add(time.Hour)\n		return true", "./permit", "TestWithdrawnWhileCut"},
	{"only allowed versions are used", "permit/permit.go", "if !w.Allow[v] {", "if false {", "./permit", "TestCheck"},
	{"a document's revision never decreases", "document/replica.go", "if d.Revision < r.held.Revision {", "if r.held = d; false {", "./document", "TestNeverReverts"},
	{"a patch applies only to its base", "document/patch.go", "if p.From != old.Revision || p.FromHash != old.Hash() {", "if false {", "./document", "TestPatchOnWrongBase"},
	{"the clock detects that the VM was suspended", "clock/clock.go", "max(mono.Sub(s.lastMono), wall.Sub(s.lastWall), 0)", "max(mono.Sub(s.lastMono), 0)", "./clock", "TestSuspendedVM"},
	{"a session token is valid only in its workspace", "session/session.go", "if t.Workspace != w {", "if false {", "./session", "TestForged"},
	{"a signature must match", "sign/sign.go", "err != nil || !hmac.Equal(got, k.mac(content))", "err != nil || len(got) == 0", "./session", "TestForged"},
	{"an arbiter that has restarted has no vote", "ticket/register.go", "a.VM == r.self.VM && a.Incarnation == r.self.Incarnation", "a.VM == r.self.VM", "./ticket", "TestOwnerReplaced"},
	{"a ticket is valid only in its workspace", "ticket/ticket.go", "if t.Workspace != w {", "if false {", "./ticket", "TestTicketOfOtherWorkspace"},
	{"an arbiter votes once per ticket", "ticket/register.go", "return Vote{For: e.vote, Result: e.result}, nil", "e.vote = c\n\t\treturn Vote{For: e.vote, Result: e.result}, nil", "./ticket", "TestSplitVotesRunNothing"},
	{"a claim needs a majority of the arbiters", "ticket/ticket.go", "return len(t.Arbiters)/2 + 1 }", "return max(len(t.Arbiters)/2, 1) }", "./ticket", "TestSplitVotesRunNothing"},
	{"not-run is reported only with proof", "ticket/claim.go", "if c.votes[Nobody] >= c.ticket.Blocking() {", "if c.votes[Nobody] >= 1 {", "./ticket", "TestNotRunNeedsItsProof"},
	{"arbiters do not vote on expired tickets", "ticket/register.go", "if now.Unix() >= t.Expires {", "if false {", "./ticket", "TestAtMostOnce|TestBoundIsARefusal"},
	{"bills are the union of all copies", "bill/bill.go", "if !had || before(r, old) {", "if r.ID += ID(r.At.String() + string(r.Origin.VM)); !had || before(r, old) {", "./bill", "TestBilledOnce"},
	{"workspaces are billed separately", "bill/bill.go", "return key{r.Workspace, r.ID}", "return key{\"\", r.ID}", "./bill", "TestSameKeyOfTwoWorkspaces"},
	{"a copy of an unfiled record is kept", "bill/holder.go", "if e.record.Origin == h.self || now.Sub(e.since) >= h.grace {", "if e.record.Origin == h.self {", "./bill", "TestBilledOnce"},
	{"a request body is sent once", "engine/call.go", "req, err := http.NewRequestWithContext(ctx, method, call.URL+path, body)", "req, err := http.NewRequestWithContext(ctx, method, call.URL+path, bytes.NewReader(call.Body))\n\treq.Header.Set(\"Idempotency-Key\", \"k\")\n\tbody.given.Store(true)", "./engine", "TestTransportRepeats"},
	{"an answer must carry its request's id", "engine/call.go", `got != "" && got != string(call.RequestID)`, `got == "never"`, "./engine", "TestChatOutcomes"},
	{"an answer must come from the requested version", "engine/call.go", "if a.Completion.Model != string(call.Version) {", "if false {", "./engine", "TestChatOutcomes"},
	{"the permission is checked again after the write", "engine/call.go", "			cancel(err)\n", "			_ = err\n", "./engine", "TestPausedBetweenCheckAndWrite"},
	{"a stream needs its end marker", "engine/stream.go", "		if !s.finished {", "		if false {", "./engine", "FuzzStream"},
	{"leaving is final for an incarnation", "upstream/said.go", "return s.leaving != 0 && s.leaving >= s.incarnation ||", "return s.load.Draining ||", "./upstream", "TestLeaving"},
	{"an upstream whose answers say it is leaving gets nothing", "upstream/said.go", "|| s.said.leaves()", "", "./platform", "TestLeavingSaidInAnswers"},
	{"an upstream in back-off gets nothing", "upstream/said.go", "!s.leaves() && !s.said.rests(now)", "!s.leaves()", "./platform", "TestRestIsKept"},
	{"an upstream's signals outlast a new list", "upstream/listed.go", "	s.said = t.said[e.Life()]\n", "", "./upstream", "TestWordHolds"},
	{"a back-off is not shortened", "upstream/said.go", "until.After(h.restUntil)", "s.Rest > 0", "./upstream", "TestWordHolds"},
	{"the last resort respects upstreams' signals", "upstream/listed.go", "if !q.allows(s) || !s.takes(now) ||", "if !q.allows(s) ||", "./upstream", "TestWordOfTheLastOnes"},
	{"signals are checked again before the first byte", "relay/said.go", "r.table.Takes(e.Life(), r.opts.Now()) && r.claimed", "r.claimed", "./relay", "TestWordWhileAConnectionIsAwaited"},
	{"a load report applies to the answering incarnation", "relay/send.go", "if alive && h.Load != nil {", "if h.Load != nil {", "./relay", "TestLoadOfAnEarlierLife"},
	{"a rate limit named by an upstream is respected", "upstream/listed.go", "t.warm(s, now) && t.within(s, now)", "t.warm(s, now)", "./upstream", "TestLimitOfAll"},
	{"only owners send within a rate limit", "upstream/limited.go", "if near && place < owners {", "if near {", "./upstream", "TestLimitOfAll"},
	{"a share of a rate limit is paced", "upstream/limited.go", "return none == 0 && s.said.limit.pace.in(part, now) == 0", "return none == 0 && s.said.limit.pace.in(part, now) >= 0", "./upstream", "TestLimitOfAll"},
	{"a limit is exceeded only when other upstreams are busy", "upstream/work.go", "	cost += t.limitCost(s, now)\n", "", "./upstream", "TestBeyondLimit"},
	{"escalating while callers wait has a cost", "relay/models.go", "if r.table.CountLimited() > 0 && r.returnsOf(j.service).Awaited(now) {", "if false {", "./relay", "TestNoEscalationWhereCallersWait"},
	{"an answer to an earlier request lifts no limit", "upstream/limit.go", "|| sent.Before(l.learnt)", "", "./upstream", "TestLimitOfAnswers"},
	{"outdated news of a rate limit is ignored", "upstream/limit.go", "case told.Version < l.version:", "case false:", "./upstream", "TestLimitsAgree"},
	{"a lower rate limit counts earlier sends", "upstream/pace.go", "if over := len(p.sends) - s.most; over >= 0 {", "if over := len(p.sends) - s.most; over < -1<<30 {", "./upstream", "TestPace"},
	{"an upstream without recent news of its limit is probed", "upstream/pick.go", "best := t.unasked(q, now)", "best := (*state)(nil)", "./upstream", "TestLimitedAskedByOthers"},
	{"a rate limit is checked again before the first byte", "relay/said.go", "&& r.claimed(j, e)", "", "./relay", "TestLimitWhileAConnectionIsAwaited"},
	{"a reservation that is not used is returned", "relay/pick.go", "		r.giveBack(j)\n", "", "./relay", "TestUnsentIsGivenBack"},
	{"other data centres learn of rate limits", "site/reads.go", "return !t.far })", "return true })", "./site", "TestFarHearLimits"},
	{"gossip brings VMs to agree on rate limits", "site/words.go", "	p.agreeOnLimits(got)\n", "", "./site", "TestWordsAgreeOnLimits"},
	{"VMs that agree exchange no rate limits", "site/words.go", "has && k.Version > version ||", "has && version > 0 ||", "./site", "TestNewerLimits"},
	{"outdated news of a limit does not replace an answer", "upstream/limit.go", "told.Limit != l.Limit || !fresh:", "told.Limit != l.Limit:", "./upstream", "TestOldNewsAsksNobodyLess"},
	{"other VMs learn of back-offs", "upstream/work.go", "if now.Before(s.othersRest) {", "if false {", "./upstream", "TestRestTold"},
	{"a retry without an upstream costs no budget", "relay/pick.go", "if !r.any(j, now) {", "if false {", "./relay", "TestNoRepeatWithoutAnUpstream"},
	{"a ready answer is kept if no other could come", "relay/models.go", "if !c.could {", "if false {", "./relay", "TestNoEscalationWithoutAnUpstream"},
	{"a silent upstream is taken out", "upstream/table.go", "now.Sub(s.heardAt) >= t.opts.SilentAfter", "false", "./upstream", "TestLeaving"},
	{"routing respects the versions an engine has loaded", "upstream/table.go", `v == "" || slices.Contains(s.load.Versions, v)`, `true`, "./upstream", "TestVersionHeld"},
	{"a former lease holder stops before its lease ends", "lease/lease.go", "!now.Before(h.until.Add(-h.opts.Margin))", "false", "./lease", "TestPausedHolder|TestOldOrdersNeverLast"},
	{"a new lease holder waits for orders in progress", "lease/lease.go", "if ignores && now.Sub(h.took) < h.opts.Settle {", "if false {", "./lease", "TestPausedHolder"},
	{"a lease is taken only after it has expired", "lease/lease.go", "return h.seenAt.Add(h.opts.Length)", "return h.seenAt", "./lease", "TestOneActs"},
	{"a VM that resigned a lease waits", "lease/lease.go", "!slices.Contains(o.Resigned, h.opts.Self.VM)", "true", "./lease", "TestWhoResignedWaits"},
	{"a lease is taken and renewed with its record", "lease/lease.go", "	if h.told {\n		return Proposal{}, false // a write would undo its record\n	}\n", "", "./lease", "TestTakenWithItsRecord|TestRenewedWithItsRecord"},
	{"an unknown lease record is not acted on", "lease/lease.go", "if h.told || h.until.IsZero() ||", "if h.until.IsZero() ||", "./lease", "TestRenewedWithItsRecord"},
	{"a record made for an older object is not written", "lease/lease.go", "		h.record = nil // made without what the newer object holds\n", "", "./lease", "TestFixedWithoutAnAnswer"},
	{"fencing numbers outlast the lease object", "lease/lease.go", "	h.seen.Version, h.seenAt, h.until, h.told = 0, now, time.Time{}, false\n", "	h.seen, h.seenAt, h.until, h.told = Seen{}, now, time.Time{}, false\n", "./lease", "TestNumbersOutlastTheObject"},
	{"the clock ignores changes of the time of day", "clock/clock.go", "t := start.Add(read() - first)", "t := time.Now().Add(0 * (read() - first))", "./clock", "TestTimeOfDaySetForward"},
	{"the fixed report is the one that is sent", "leader/record.go", "if len(raw) == 0 {", "if true {", "./leader", "TestSuccessorRepeatsWhatWasFixed"},
	{"a report waits for the VMs that gather usage", "usage/plan.go", "now.Sub(end) >= t.gather() && !heard.Before(end)", "now.Sub(end) >= t.gather()", "./leader", "TestSilentTellerIsAwaited"},
	{"a rejected report is given up", "platform/client.go", "s.status < http.StatusInternalServerError && s.status != http.StatusRequestTimeout", "s.status < 0", "./platform", "TestRefusedReports"},
	{"partial counts merge by maximum, not by sum", "usage/usage.go", "		if n > c[w] {\n			c[w] = n\n", "		if n > 0 {\n			c[w] += n\n", "./usage", "TestSumsAgree"},
	{"a removed upstream leaves its pool", "upstream/change.go", "			t.unlink(s)\n			delete(t.states, id)\n", "			delete(t.states, id)\n", "./upstream", "TestChangeListEqualsConfigureList"},
	{"connection limits follow the number of VMs", "relay/list.go", "		if r.limits[id] != limit {", "		if false && r.limits[id] != limit {", "./relay", "TestChangesEqualTheWholeList"},
	{"all VMs together respect an upstream's connections", "relay/list.go", "min(most/vms, leastConnections), 1)", "leastConnections)", "./relay", "TestConnectionsOfAllVMs"},
	{"a request stays in its regions", "relay/evacuated.go", "order[i].ids = r.inside(j.Request, order[i].ids)", "_ = r.inside(j.Request, order[i].ids)", "./relay", "TestRegionsAreKept"},
	{"both the workspace's and the route's regions apply", "relay/regions.go", "allows(q.Route.Regions, region) && allows(q.Regions, region)", "allows(q.Route.Regions, region)", "./relay", "TestRegionsAreKept"},
	{"hubs send the lease holder the usage they gather", "site/usage.go", "	if _, err := link.Call[Gathered, struct{}](ctx, p.endpoint, address, link.KindUsage, g); err != nil {", "	if _, err := link.Call[Gathered, struct{}](ctx, p.endpoint, address, link.KindUsage, Gathered{}); err != nil {", "./platform", "TestUsageIsReported"},
	{"upstreams are released once others serve", "scaling/scaling.go", "replaced := s.wanted(dc) - (st.Preemptible - st.ColdPreemptible)", "replaced := s.wanted(dc) - s.preemptible(dc)", "./scaling", "TestCheapOnesTakeThePlaceOfOthers"},
	{"nothing is ordered during a release", "scaling/scaling.go", "if s.Released || s.Releasing && !s.short() {", "if s.Released {", "./scaling", "TestNoneDuringARelease"},
	{"capacity covers the loss of data centres", "scaling/scaling.go", "s.cheap() && left > 0 {", "false {", "./scaling", "TestLossOfDataCentres"},
	{"preemptible upstreams stay within the bound", "scaling/scaling.go", "return max(min(s.wanted(dc)-s.kept(), room), 0)", "return max(min(s.wanted(dc)-s.kept(), room+s.Limits.Max), 0)", "./scaling", "TestBounds"},
	{"a lost reply is resolved by reading", "history/history.go", "if accepted.ID == record.ID {\n		return nil\n	}", "", "./history", "TestLostReplies"},
	{"a withdrawn version stays withdrawn", "config/check.go", "if v.State != Withdrawn {", "if v.State != \"\" {", "./config", "TestWithdrawnStaysWithdrawn"},
	{"an outdated file is rejected", "operator/operator.go", "if contract.Revision(from) == p.From {", "if true {", "./operator", "TestOlderFileIsRefused"},
	{"earlier configurations count for the stated end", "operator/operator.go", "end.After(sure)", "false", "./operator", "TestSureAt"},
	{"capacity is reserved for quiet workspaces", "workspace/queue.go", "if q.running < q.opts.Capacity-q.reserve() {", "if q.running < q.opts.Capacity {", "./workspace", "TestQuietWorkspaceIsNotHeldUp"},
	{"an empty set of pools does not mean all pools", "relay/evacuated.go", "return len(c.ids) == 0", "return false", "./platform", "TestNoPoolIsNotEveryPool"},
	{"a quarantined content is not sent", "relay/held.go", "!r.cases.Bars(j.print(), now)", "!r.cases.Bars(quarantine.Print{}, now)", "./platform", "TestCrashingRequestIsHeld"},
	{"VMs tell each other which contents crash upstreams", "site/hear.go", "t.HearSuspects(w.Suspects, w.Self.VM) || worse", "worse", "./platform", "TestHeldWhileTheStoreIsAway"},
	{"the quarantine outlasts all VMs", "site/held.go", "s.opts.Relay.SetHeld(h)", "_ = h", "./platform", "TestHeldOutlastsAllVMs"},
	{"simultaneous upstream crashes count as one", "quarantine/table.go", "if n == 0 || sentAfter || apart {", "if n == 0 || sentAfter || !apart {", "./quarantine", "TestWhatIsNoProof"},
	{"an answer clears a suspect content", "quarantine/table.go", "	t.clear(c, c.Epoch+1, now)\n	return true\n", "	return true\n", "./quarantine", "TestWhatIsNoProof"},
	{"a broken connection is not a crash", "relay/ends.go", "if !exchange.NothingListens(err) {", "if false {", "./platform", "TestBrokenConnectionsEndNothing"},
	{"an upstream that had crashed before is not counted", "relay/ends.go", "!j.there && now.Sub(j.sentAt) < thereAfter || ", "", "./platform", "TestEndedBeforeTheSend"},
	{"the last upstream is spared", "relay/pick.go", "if r.endsLast(j, id, pools, now) {", "if false {", "./platform", "TestLastUpstreamIsSpared"},
	{"an evacuated data centre gets nothing", "relay/evacuated.go", "return ok && (moved == 1 || when < moved)", "return ok && moved < 0", "./platform", "TestEvacuated"},
	{"an evacuation outlasts the store", "site/evacuations.go", "return !in[name] && e.at <= c.Revision", "return true", "./site", "TestEvacuationOlderList"},
	{"a cold upstream has owners", "upstream/cold.go", "return t.placeAt(s) < owners &&", "return owners > 0 &&", "./upstream", "TestColdOwnersKeepTheBound"},
	{"an owner sends a whole number per second", "upstream/cold.go", "s.cold.sent(now) < each", "true", "./upstream", "TestColdOwnersKeepTheBound"},
	{"the cold limit has room for two views", "upstream/cold.go", "b.Most/coldViews", "b.Most", "./upstream", "TestColdShare"},
	{"the last resort spares cold upstreams", "upstream/listed.go", "|| !s.hasConnection() || !t.bears(s, now) {", "|| !s.hasConnection() {", "./upstream", "TestLastResortSparesTheCold"},
	{"a new incarnation under an id is another upstream", "upstream/listed.go", "s != nil && s.born != e.Born", "false && s != nil", "./upstream", "TestNewLifeForgets"},
	{"news of an earlier incarnation is dropped", "relay/relay.go", "return ok && e.Born == born", "return ok", "./relay", "TestEarlierLife"},
	{"a malformed store entry defines no upstream", "platform/entries.go", "if r.err == nil && !slices.Contains(words, s) {", "if false {", "./platform", "TestEntryOfAnotherWriter"},
	{"few VMs query the store for callers", "site/duty.go", "return wantedStep * time.Duration(min(p.Near, wantedPlaces))", "return 0", "./site", "TestFewAskForCallers"},
	{"a list received from a peer is not read again", "site/follow.go", "return f.relist\n", "return true\n", "./site", "TestRestIsNotReadWhenTold"},
	{"a list is encoded once for all readers", "site/hear.go", "ok && !w.Holds {", "ok && false {", "./site", "TestPackedOnce"},
	{"a VM's known incarnation never decreases", "entry/members.go", "	m.EntryIncarnation = max(m.EntryIncarnation, old.EntryIncarnation)\n", "", "./entry", "TestMembersDoNotGoBack"},
	{"a log line that cannot be written fails no request", "logs/logs.go", "if why := recover(); why != nil {", "if why := any(nil); why != nil {", "./logs", "TestFieldThatCannotBeEncoded"},
	{"repeats have a cost", "cascade/repeats.go", "return most * max(0, used-repeatFree)", "return 0 * max(0, used-repeatFree)", "./cascade", "TestRepeatsWhereTheyGainMost"},
	{"an entry that becomes invalid is removed", "site/listing.go", "changed = l.drop(id) || changed", "", "./platform", "TestBadEntryHidesNoOther"},
	{"an answer must match the platform caller's request", "platform/dialect.go", `return id == string(r.ID) || id == "" && h.Get(headerSignature) == ""`, `return true || id == ""`, "./platform", "TestCrossedAnswers"},
	{"a success needs its upstream's signature", "relay/plain.go", "h.Status < http.StatusMultipleChoices && !h.Sealed", "false", "./platform", "TestOutcomes"},
	{"reserved headers are not forwarded", "platform/names.go", "perConnection[name] || dropped[name] || named[name]", "perConnection[name] || dropped[name] && named[name]", "./platform", "TestPassedAsItCame"},
	{"each request names its upstream", "platform/dialect.go", "	set(headerInstance, string(s.Upstream.ID))\n", "", "./platform", "TestAnotherServiceHasTheAddress"},
	{"a request that must not be repeated is sent once", "retry/retry.go", "case !a.Repeatable && a.Outcome != contract.NotRun:", "case false:", "./platform", "TestOnceIsSentOnce"},
	{"a request that must not be repeated is not escalated", "relay/models.go", "return j.Route.Repeatable() && j.Route.MaxAttempts > 1 }", "return j.Route.MaxAttempts > 1 }", "./relay", "TestNoEscalationOfWhatMayNotRepeat"},
	{"no escalation that would begin after the deadline", "relay/models.go", "o.Never = begins.After(j.Deadline)", "o.Never = false", "./relay", "TestNoEscalationOfWhatMayNotRepeat"},
	{"a VM shares only times it measured itself", "reading/rates.go", "if !ok || x.seen < fewSeen {", "if !ok {", "./reading", "TestRatesDoNotEcho"},
	{"an engine without reports is not assumed idle", "upstream/group.go", "	if t.heard(s, dc) {", "	if true {", "./upstream", "TestUnheardEngines"},
	{"a request that no engine can read in time is refused", "relay/models.go", "return after, true", "return after, false", "./relay", "TestHopelessIsRefusedAtOnce"},
	{"a delivered event is not forwarded again", "stream/events.go", "if e.seen && id <= e.last {", "if false {", "./stream", "TestEventsWholeAndOnce"},
	{"a partial event is dropped on resume", "relay/streaming.go", "		s.events.Restart()\n", "", "./platform", "TestStreamResumes"},
	{"a silent stream is kept if no other upstream can answer", "relay/silence.go", "if !a.relay.another(&a.job, hung) {", "if false {", "./platform", "TestSilenceWithoutAnother"},
	{"a silent stream ends once another can answer", "relay/silence.go", "		a.timer.Reset(lookAgain)\n", "", "./platform", "TestSilenceUntilAnother"},
	{"an undone release stays out", "relay/pick.go", "out := maps.Clone(r.undone[j.service])", "out := maps.Clone(map[string]bool{})", "./platform", "TestBadReleaseIsUndone"},
	{"no trial runs in the first half", "rollout/canary.go", "trialFrom = 0.52", "trialFrom = 0.4", "./rollout", "TestSessionsMoveOneWay"},
	{"a trial is sized by its order's share", "rollout/canary.go", "full := 1 - all", "full := 0.7 + 0*all", "./rollout", "TestShareOfAnOrder"},
	{"a VM without evidence does not end a trial", "rollout/canary.go", "	case c.blind():\n		return OrderOpen, false\n", "", "./rollout", "TestJoinsLate"},
	{"a completed release stays under the next order", "relay/rollouts.go", "		r.settled[o.Service] = o.Release\n", "", "./platform", "TestCompletedReleaseStays"},
	{"slow answers count as bad", "rollout/canary.go", "if a.Failed || slow {", "if a.Failed {", "./rollout", "TestSlowRelease"},
	{"an outdated object does not come back", "site/ledger.go", "!had && l.known && i.Revision <= l.at && !(d.Full && d.At >= l.at)", "false", "./site", "TestStaleObject"},
	{"removals between two lists are unknown", "site/ledger.go", "		l.floor = max(l.floor, d.At) // what came and went before is not known\n", "", "./site", "TestRemovalBetweenLists"},
	{"an expired entry is not a removed one", "site/listing.go", "if !e.Leaving && now.Before(until) {", "if false {", "./site", "TestRemovedAndLapsed"},
	{"a peer's fresh news shows that the store is back", "site/shared.go", "	if h.Age < heardOfLate {\n		f.reached(true)\n	}\n	return Compared", "	return Compared", "./site", "TestRegainedByPeer"},
	{"outdated news is not relied on", "site/duty.go", "return d.fresh.Add(d.timing.Stale + p.wait(d.timing))", "return d.fresh.Add(time.Hour)", "./site", "TestWordStaysFresh"},
	{"few VMs query a store that is unreachable", "site/duty.go", "steps := p.Near + p.Near*p.Near/fewPlaces", "steps := min(p.Near, 8)", "./site", "TestStoreAwayIsAskedByFew"},
	{"callers do not wait for other VMs' news", "site/duty.go", "case !known && !d.wanted.IsZero():", "case false:", "./platform", "TestFirstCallerIsServed"},
	{"a hub that does not answer is skipped", "site/hubs.go", "p.shun[address] = now.Add(shunFor)", "_ = now", "./site", "TestSilentHub"},
	{"VMs that have left count for a while", "site/hubs.go", "n >= c.most || now.Sub(c.mostAt) > countFor", "true", "./site", "TestCountErrsToTheSafeSide"},
	{"a VM is not sent its own news", "site/reads.go", "return t.from != to && !(hub && t.here) }", "return !(hub && t.here) }", "./site", "TestNobodyIsToldBack"},
	{"hubs are not sent what hubs know", "site/reads.go", "return t.from != to && !(hub && t.here) }", "return t.from != to }", "./site", "TestNobodyIsToldBack"},
	{"a hub's ages are kept", "vm/hubs.go", "			s.at = now.Add(-max(m.Age, 0))\n", "", "./site", "TestDeadAreForgottenOnce"},
	{"hubs tell each other about each VM", "rollout/canary.go", "if to == HearsHub {", "if false {", "./rollout", "TestEvidenceThroughHubs"},
	{"demand counts the VMs heard of", "relay/relay.go", "if r.group.VMs > 0 {", "if false {", "./relay", "TestSendersAreThoseHeardOf"},
	{"records at risk are copied again", "entry/bills.go", "		s.copyAgain(ctx)\n", "", "./internal/fleet", "TestStopWithRecordAtRisk"},
	{"one of two watchers yields", "site/duty.go", "(d.failing || d.lead.before(d.self))", "false", "./site", "TestYields"},
	{"a watcher whose calls fail yields", "site/duty.go", "(d.failing || d.lead.before(d.self))", "d.lead.before(d.self)", "./site", "TestYields"},
	{"the fleet shares the retry budget's slack", "retry/window.go", "w.opts.Slack/float64(max(vms, 1))", "w.opts.Slack", "./retry", "TestFleetKeepsBudget"},
	{"a dead link is dropped", "link/client.go", "p.conn.Context().Err() == nil && !silent", "p.conn.Context().Err() == nil && (silent || !silent)", "./link", "TestPeerRestartedSilently"},
	{"log space is reserved for failures", "logs/bounded.go", "if level < zapcore.WarnLevel && len(b.lines) >= maxWaiting-reserved {", "if false {", "./logs", "TestBlockedOutput"},
	{"a request that may have run is not repeated", "retry/retry.go", "case !a.Repeatable && a.Outcome != contract.NotRun:", "case false:", "./retry", "TestDecide"},
	{"retries stay within their budget", "retry/retry.go", "if b.saved < 1 {", "if false {", "./retry", "TestDecide"},
	{"no roll-out step on partial evidence", "rollout/stepper.go", "case s.CutOff:", "case false:", "./rollout", "TestHoldsAndHalts"},
	{"duplicated evidence counts once", "rollout/evidence.go", "merged[i].Counts.Good = max(merged[i].Counts.Good, c.Counts.Good)", "merged[i].Counts.Good += c.Counts.Good", "./rollout", "TestEvidenceMerges"},
	{"news of a former incarnation is dropped", "vm/vm.go", "if had && (m.Incarnation < old.member.Incarnation) {", "if false {", "./vm", "TestLateWordOfEarlierLife"},
	{"a request received during shutdown is answered", "drain/drain.go", "> quietFor && !c.unread()", "> quietFor", "./drain", "TestArrivedRequest"},
	{"silent connections are not reused", "exchange/exchange.go", "c.reused && silent(ctx, err)", "false", "./exchange", "TestSilentConnections"},
	{"a shutdown waits for streams", "entry/server.go", "!callers.Drain(ctx)", "ctx.Err() != nil", "./internal/fleet", "TestPlannedStop"},
	{"a copy is stored before the answer ends", "entry/bills.go", "keepers := s.keepers()", "keepers := s.keepers()[:0]", "./internal/fleet", "TestBilledThoughKilled"},
	{"a near peer stores copies too", "entry/bills.go", "[][]vm.Member{far, near}", "[][]vm.Member{far}", "./internal/fleet", "TestCutOff/both"},
	{"arbiters learn of results", "entry/tickets.go", "s.tellArbiters(ctx, c, ticket.Result{Outcome: contract.Ran", "s.tellArbiters(ctx, &claim{settled: true}, ticket.Result{Outcome: contract.Ran", "./internal/fleet", "TestRulingAnswerFoundAgain"},
}

// testTimeout is the time limit for the test of one mutant.
const testTimeout = 4 * time.Minute

func main() {
	survived := 0
	for _, m := range mutants {
		if len(os.Args) > 1 && !strings.Contains(m.rule, os.Args[1]) {
			continue
		}
		startedAt := time.Now()
		killed, err := tryMutant(m)
		if err != nil {
			fmt.Printf("%-50s cannot be tested: %v\n", m.rule, err)
			survived++
			continue
		}
		result := "fails without it"
		if !killed {
			result = "PASSES WITHOUT IT"
			survived++
		}
		fmt.Printf("%-50s %s %s: %s (%v)\n", m.rule, m.pkg, m.test, result, time.Since(startedAt).Round(time.Second))
	}
	fmt.Printf("%d rules; for %d of them the test passes without the rule or could not be run\n", len(mutants), survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// tryMutant removes the rule in a copy of the project and returns whether the test then fails.
func tryMutant(m mutant) (bool, error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(dir); err != nil {
		return false, err
	}
	path := filepath.Join(dir, m.file)
	text, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := bytes.Count(text, []byte(m.old)); n != 1 {
		return false, fmt.Errorf("%s contains %q %d times, want once", m.file, m.old, n)
	}
	if err := os.WriteFile(path, bytes.Replace(text, []byte(m.old), []byte(m.new), 1), 0o600); err != nil {
		return false, err
	}
	if out, err := runCommand(dir, "go", "build", "./..."); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	_, err = runCommand(dir, "go", "test", m.pkg, "-run", m.test, "-count", "1", "-timeout", testTimeout.String())
	return err != nil, nil
}

func runCommand(dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// copyTree copies the Go source and module files of the project to a folder.
func copyTree(destination string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && (strings.HasPrefix(d.Name(), ".") || path == "bin" || path == "trial") {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(destination, path), 0o700)
		}
		if !strings.HasSuffix(path, ".go") && path != "go.mod" && path != "go.sum" {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(destination, path), source, 0o600)
	})
}
