// Command mutants takes each safety rule out of a copy of the project, one at a
// time, and checks that the test named for it then fails. A test that passes
// without its rule proves nothing.
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

// mutant is one rule taken out: old is replaced by new in file.
type mutant struct {
	rule      string
	file      string
	old, new  string
	pkg, test string
}

var mutants = []mutant{
	{"a permission ends", "permit/permit.go", "if !now.Before(k.NotAfter(v)) {", "if false {", "./permit", "TestWithdrawnWhileCut"},
	{"freshness counts from the held document alone", "document/replica.go", "		r.freshAt = freshAt\n		return true", "		r.freshAt = freshAt.Add(time.Hour)\n		return true", "./permit", "TestWithdrawnWhileCut"},
	{"only allowed versions", "permit/permit.go", "if !w.Allow[v] {", "if false {", "./permit", "TestCheck"},
	{"a revision never falls", "document/replica.go", "if d.Revision < r.held.Revision {", "if r.held = d; false {", "./document", "TestNeverReverts"},
	{"a patch fits its base", "document/patch.go", "if p.From != old.Revision || p.FromHash != old.Hash() {", "if false {", "./document", "TestPatchOnWrongBase"},
	{"the clock sees a suspension", "clock/clock.go", "max(mono.Sub(s.lastMono), wall.Sub(s.lastWall), 0)", "max(mono.Sub(s.lastMono), 0)", "./clock", "TestSuspendedVM"},
	{"a token is of its workspace", "session/session.go", "if t.Workspace != w {", "if false {", "./session", "TestForged"},
	{"a signature has to fit", "sign/sign.go", "err != nil || !hmac.Equal(got, k.mac(content))", "err != nil || len(got) == 0", "./session", "TestForged"},
	{"a replaced arbiter has no vote", "ticket/register.go", "a.VM == r.self.VM && a.Incarnation == r.self.Incarnation", "a.VM == r.self.VM", "./ticket", "TestOwnerReplaced"},
	{"a ticket is of its workspace", "ticket/ticket.go", "if t.Workspace != w {", "if false {", "./ticket", "TestTicketOfOtherWorkspace"},
	{"an arbiter votes once", "ticket/register.go", "return Vote{For: e.vote, Result: e.result}, nil", "e.vote = c\n\t\treturn Vote{For: e.vote, Result: e.result}, nil", "./ticket", "TestSplitVotesRunNothing"},
	{"a majority runs", "ticket/ticket.go", "return len(t.Arbiters)/2 + 1 }", "return max(len(t.Arbiters)/2, 1) }", "./ticket", "TestSplitVotesRunNothing"},
	{"not run needs its proof", "ticket/claim.go", "if c.votes[Nobody] >= c.ticket.Blocking() {", "if c.votes[Nobody] >= 1 {", "./ticket", "TestNotRunNeedsItsProof"},
	{"expired tickets are not voted on", "ticket/register.go", "if now.Unix() >= t.Expires {", "if false {", "./ticket", "TestAtMostOnce|TestBoundIsARefusal"},
	{"bills are a union", "bill/bill.go", "if !had || before(r, old) {", "if r.ID += ID(r.At.String() + string(r.Origin.VM)); !had || before(r, old) {", "./bill", "TestBilledOnce"},
	{"workspaces are billed apart", "bill/bill.go", "return key{r.Workspace, r.ID}", "return key{\"\", r.ID}", "./bill", "TestSameKeyOfTwoWorkspaces"},
	{"an unfiled copy is kept", "bill/holder.go", "if e.record.Origin == h.self || now.Sub(e.since) >= h.grace {", "if e.record.Origin == h.self {", "./bill", "TestBilledOnce"},
	{"a body is given out once", "engine/call.go", "req, err := http.NewRequestWithContext(ctx, method, call.URL+path, body)", "req, err := http.NewRequestWithContext(ctx, method, call.URL+path, bytes.NewReader(call.Body))\n\treq.Header.Set(\"Idempotency-Key\", \"k\")\n\tbody.given.Store(true)", "./engine", "TestTransportRepeats"},
	{"an answer is to its request", "engine/call.go", `got != "" && got != string(call.RequestID)`, `got == "never"`, "./engine", "TestChatOutcomes"},
	{"an answer is of its version", "engine/call.go", "if a.Completion.Model != string(call.Version) {", "if false {", "./engine", "TestChatOutcomes"},
	{"the permission is asked again after the write", "engine/call.go", "			cancel(err)\n", "			_ = err\n", "./engine", "TestPausedBetweenCheckAndWrite"},
	{"a stream needs its end", "engine/stream.go", "		if !s.finished {", "		if false {", "./engine", "FuzzStream"},
	{"leaving is for good in a life", "upstream/said.go", "return s.leaving != 0 && s.leaving >= s.incarnation ||", "return s.load.Draining ||", "./upstream", "TestLeaving"},
	{"an upstream that leaves by its answers gets nothing", "upstream/said.go", "|| s.said.leaves()", "", "./platform", "TestLeavingSaidInAnswers"},
	{"an upstream that rests gets nothing", "upstream/said.go", "!s.leaves() && !s.said.rests(now)", "!s.leaves()", "./platform", "TestRestIsKept"},
	{"a word outlasts the list", "upstream/listed.go", "	s.said = t.said[e.Life()]\n", "", "./upstream", "TestWordHolds"},
	{"a rest is not shortened", "upstream/said.go", "until.After(h.restUntil)", "s.Rest > 0", "./upstream", "TestWordHolds"},
	{"the last resort goes by the word", "upstream/listed.go", "if !q.allows(s) || !s.takes(now) ||", "if !q.allows(s) ||", "./upstream", "TestWordOfTheLastOnes"},
	{"the word is asked again before the first byte", "relay/said.go", "r.table.Takes(e.Life(), r.opts.Now()) && r.claimed", "r.claimed", "./relay", "TestWordWhileAConnectionIsAwaited"},
	{"an answer's load is of the life that answered", "relay/send.go", "if alive && h.Load != nil {", "if h.Load != nil {", "./relay", "TestLoadOfAnEarlierLife"},
	{"a limit that an upstream has named is kept", "upstream/listed.go", "t.warm(s, now) && t.within(s, now)", "t.warm(s, now)", "./upstream", "TestLimitOfAll"},
	{"owners alone send what a limit allows", "upstream/limited.go", "if near && place < owners {", "if near {", "./upstream", "TestLimitOfAll"},
	{"a part of a limit is paced", "upstream/limited.go", "return none == 0 && s.said.limit.pace.in(part, now) == 0", "return none == 0 && s.said.limit.pace.in(part, now) >= 0", "./upstream", "TestLimitOfAll"},
	{"more than a limit goes to an upstream only where others are busy", "upstream/work.go", "	cost += t.limitCost(s, now)\n", "", "./upstream", "TestBeyondLimit"},
	{"a repeat in the place of a waiting caller is dear", "relay/models.go", "if r.table.CountLimited() > 0 && r.returnsOf(j.service).Awaited(now) {", "if false {", "./relay", "TestNoEscalationWhereCallersWait"},
	{"an answer to an earlier request lifts no limit", "upstream/limit.go", "|| sent.Before(l.learnt)", "", "./upstream", "TestLimitOfAnswers"},
	{"older news of a limit is passed over", "upstream/limit.go", "case told.Version < l.version:", "case false:", "./upstream", "TestLimitsAgree"},
	{"a lower limit counts what was sent before", "upstream/pace.go", "if over := len(p.sends) - s.most; over >= 0 {", "if over := len(p.sends) - s.most; over < -1<<30 {", "./upstream", "TestPace"},
	{"an upstream that nobody asks is asked", "upstream/pick.go", "best := t.unasked(q, now)", "best := (*state)(nil)", "./upstream", "TestLimitedAskedByOthers"},
	{"a limit is asked again before the first byte", "relay/said.go", "&& r.claimed(j, e)", "", "./relay", "TestLimitWhileAConnectionIsAwaited"},
	{"what was not sent is given back", "relay/pick.go", "		r.giveBack(j)\n", "", "./relay", "TestUnsentIsGivenBack"},
	{"other data centres hear of limits", "site/reads.go", "return !t.far })", "return true })", "./site", "TestFarHearLimits"},
	{"words agree on limits", "site/words.go", "	p.agreeOnLimits(got)\n", "", "./site", "TestWordsAgreeOnLimits"},
	{"VMs that agree tell each other nothing of limits", "site/words.go", "has && k.Version > version ||", "has && version > 0 ||", "./site", "TestNewerLimits"},
	{"old news of a limit stands for no answer", "upstream/limit.go", "told.Limit != l.Limit || !fresh:", "told.Limit != l.Limit:", "./upstream", "TestOldNewsAsksNobodyLess"},
	{"other VMs are told of rests", "upstream/work.go", "if now.Before(s.othersRest) {", "if false {", "./upstream", "TestRestTold"},
	{"a retry that nobody takes is not paid for", "relay/pick.go", "if !r.any(j, now) {", "if false {", "./relay", "TestNoRepeatWithoutAnUpstream"},
	{"a ready answer is kept where no other could come", "relay/models.go", "if !c.could {", "if false {", "./relay", "TestNoEscalationWithoutAnUpstream"},
	{"silence takes an upstream out", "upstream/table.go", "now.Sub(s.heardAt) >= t.opts.SilentAfter", "false", "./upstream", "TestLeaving"},
	{"routing goes by what an engine holds", "upstream/table.go", `v == "" || slices.Contains(s.load.Versions, v)`, `true`, "./upstream", "TestVersionHeld"},
	{"a former holder stops before its lease ends", "lease/lease.go", "!now.Before(h.until.Add(-h.opts.Margin))", "false", "./lease", "TestPausedHolder|TestOldOrdersNeverLast"},
	{"a taker waits out orders under way", "lease/lease.go", "if ignores && now.Sub(h.took) < h.opts.Settle {", "if false {", "./lease", "TestPausedHolder"},
	{"a lease is waited out by its taker", "lease/lease.go", "return h.seenAt.Add(h.opts.Length)", "return h.seenAt", "./lease", "TestOneActs"},
	{"who gave a lease up waits", "lease/lease.go", "!slices.Contains(o.Resigned, h.opts.Self.VM)", "true", "./lease", "TestWhoResignedWaits"},
	{"a lease is taken and renewed with its record", "lease/lease.go", "	if h.told {\n		return Proposal{}, false // a write would undo its record\n	}\n", "", "./lease", "TestTakenWithItsRecord|TestRenewedWithItsRecord"},
	{"nothing is done by a record that is not known", "lease/lease.go", "if h.told || h.until.IsZero() ||", "if h.until.IsZero() ||", "./lease", "TestRenewedWithItsRecord"},
	{"a record made for an older object is not written", "lease/lease.go", "		h.record = nil // made without what the newer object holds\n", "", "./lease", "TestFixedWithoutAnAnswer"},
	{"numbers outlast the lease's object", "lease/lease.go", "	h.seen.Version, h.seenAt, h.until, h.told = 0, now, time.Time{}, false\n", "	h.seen, h.seenAt, h.until, h.told = Seen{}, now, time.Time{}, false\n", "./lease", "TestNumbersOutlastTheObject"},
	{"the clock does not follow the time of day", "clock/clock.go", "t := start.Add(read() - first)", "t := time.Now().Add(0 * (read() - first))", "./clock", "TestTimeOfDaySetForward"},
	{"what is fixed is what is reported", "leader/record.go", "if len(raw) == 0 {", "if true {", "./leader", "TestSuccessorRepeatsWhatWasFixed"},
	{"a report waits for those that gather", "usage/plan.go", "now.Sub(end) >= t.gather() && !heard.Before(end)", "now.Sub(end) >= t.gather()", "./leader", "TestSilentTellerIsAwaited"},
	{"a report that is turned down is given up", "platform/client.go", "s.status < http.StatusInternalServerError && s.status != http.StatusRequestTimeout", "s.status < 0", "./platform", "TestRefusedReports"},
	{"parts are no sums", "usage/usage.go", "		if n > c[w] {\n			c[w] = n\n", "		if n > 0 {\n			c[w] += n\n", "./usage", "TestSumsAgree"},
	{"an upstream that is gone leaves its pool", "upstream/change.go", "			t.unlink(s)\n			delete(t.states, id)\n", "			delete(t.states, id)\n", "./upstream", "TestChangeListEqualsConfigureList"},
	{"connections are split anew with the number of VMs", "relay/list.go", "		if r.limits[id] != limit {", "		if false && r.limits[id] != limit {", "./relay", "TestChangesEqualTheWholeList"},
	{"all VMs together keep an upstream's connections", "relay/list.go", "min(most/vms, leastConnections), 1)", "leastConnections)", "./relay", "TestConnectionsOfAllVMs"},
	{"a request stays in its regions", "relay/evacuated.go", "order[i].ids = r.inside(j.Request, order[i].ids)", "_ = r.inside(j.Request, order[i].ids)", "./relay", "TestRegionsAreKept"},
	{"a workspace's regions bind beside a route's", "relay/regions.go", "allows(q.Route.Regions, region) && allows(q.Regions, region)", "allows(q.Route.Regions, region)", "./relay", "TestRegionsAreKept"},
	{"hubs tell the holder of the lease what they gather", "site/usage.go", "	if _, err := link.Call[Gathered, struct{}](ctx, p.endpoint, address, link.KindUsage, g); err != nil {", "	if _, err := link.Call[Gathered, struct{}](ctx, p.endpoint, address, link.KindUsage, Gathered{}); err != nil {", "./platform", "TestUsageIsReported"},
	{"upstreams are given away once others serve", "scaling/scaling.go", "replaced := s.wanted(dc) - (st.Preemptible - st.ColdPreemptible)", "replaced := s.wanted(dc) - s.preemptible(dc)", "./scaling", "TestCheapOnesTakeThePlaceOfOthers"},
	{"nothing is ordered during a release", "scaling/scaling.go", "if s.Released || s.Releasing && !s.short() {", "if s.Released {", "./scaling", "TestNoneDuringARelease"},
	{"the loss of data centres is provided for", "scaling/scaling.go", "s.cheap() && left > 0 {", "false {", "./scaling", "TestLossOfDataCentres"},
	{"cheap upstreams stand beside others within the bound", "scaling/scaling.go", "return max(min(s.wanted(dc)-s.kept(), room), 0)", "return max(min(s.wanted(dc)-s.kept(), room+s.Limits.Max), 0)", "./scaling", "TestBounds"},
	{"a lost reply is settled by reading", "history/history.go", "if accepted.ID == record.ID {\n		return nil\n	}", "", "./history", "TestLostReplies"},
	{"a withdrawn version stays withdrawn", "config/check.go", "if v.State != Withdrawn {", "if v.State != \"\" {", "./config", "TestWithdrawnStaysWithdrawn"},
	{"an older file is refused", "operator/operator.go", "if contract.Revision(from) == p.From {", "if true {", "./operator", "TestOlderFileIsRefused"},
	{"earlier configurations count for the stated end", "operator/operator.go", "end.After(sure)", "false", "./operator", "TestSureAt"},
	{"quiet workspaces have a reserve", "workspace/queue.go", "if q.running < q.opts.Capacity-q.reserve() {", "if q.running < q.opts.Capacity {", "./workspace", "TestQuietWorkspaceIsNotHeldUp"},
	{"no pools are not all pools", "relay/evacuated.go", "return len(c.ids) == 0", "return false", "./platform", "TestNoPoolIsNotEveryPool"},
	{"a held content is sent to none", "relay/held.go", "!r.cases.Bars(j.print(), now)", "!r.cases.Bars(quarantine.Print{}, now)", "./platform", "TestCrashingRequestIsHeld"},
	{"VMs tell each other what ends upstreams", "site/hear.go", "t.HearSuspects(w.Suspects, w.Self.VM) || worse", "worse", "./platform", "TestHeldWhileTheStoreIsAway"},
	{"what is held outlasts all VMs", "site/held.go", "s.opts.Relay.SetHeld(h)", "_ = h", "./platform", "TestHeldOutlastsAllVMs"},
	{"upstreams that end together are one end", "quarantine/table.go", "if n == 0 || sentAfter || apart {", "if n == 0 || sentAfter || !apart {", "./quarantine", "TestWhatIsNoProof"},
	{"an answer clears a content", "quarantine/table.go", "	t.clear(c, c.Epoch+1, now)\n	return true\n", "	return true\n", "./quarantine", "TestWhatIsNoProof"},
	{"a broken connection is no end", "relay/ends.go", "if !exchange.NothingListens(err) {", "if false {", "./platform", "TestBrokenConnectionsEndNothing"},
	{"an upstream that had ended before was not ended by it", "relay/ends.go", "!j.there && now.Sub(j.sentAt) < thereAfter || ", "", "./platform", "TestEndedBeforeTheSend"},
	{"the last upstream is spared", "relay/pick.go", "if r.endsLast(j, id, pools, now) {", "if false {", "./platform", "TestLastUpstreamIsSpared"},
	{"an evacuated data centre gets nothing", "relay/evacuated.go", "return ok && (moved == 1 || when < moved)", "return ok && moved < 0", "./platform", "TestEvacuated"},
	{"an evacuation outlasts the store", "site/evacuations.go", "return !in[name] && e.at <= c.Revision", "return true", "./site", "TestEvacuationOlderList"},
	{"a cold upstream has owners", "upstream/cold.go", "return t.placeAt(s) < owners &&", "return owners > 0 &&", "./upstream", "TestColdOwnersKeepTheBound"},
	{"an owner sends a whole number a second", "upstream/cold.go", "s.cold.sent(now) < each", "true", "./upstream", "TestColdOwnersKeepTheBound"},
	{"owners have room for two views", "upstream/cold.go", "b.Most/coldViews", "b.Most", "./upstream", "TestColdShare"},
	{"the last resort spares the cold", "upstream/listed.go", "|| !s.hasConnection() || !t.bears(s, now) {", "|| !s.hasConnection() {", "./upstream", "TestLastResortSparesTheCold"},
	{"a new life under an id is another upstream", "upstream/listed.go", "s != nil && s.born != e.Born", "false && s != nil", "./upstream", "TestNewLifeForgets"},
	{"word of an earlier life is dropped", "relay/relay.go", "return ok && e.Born == born", "return ok", "./relay", "TestEarlierLife"},
	{"an entry of another writer names no upstream", "platform/entries.go", "if r.err == nil && !slices.Contains(words, s) {", "if false {", "./platform", "TestEntryOfAnotherWriter"},
	{"few ask the store for callers", "site/duty.go", "return wantedStep * time.Duration(min(p.Near, wantedPlaces))", "return 0", "./site", "TestFewAskForCallers"},
	{"a list is not read on once it was told", "site/follow.go", "return f.relist\n", "return true\n", "./site", "TestRestIsNotReadWhenTold"},
	{"a list is packed once for all who ask", "site/hear.go", "ok && !w.Holds {", "ok && false {", "./site", "TestPackedOnce"},
	{"what is known of a VM does not go back", "entry/members.go", "	m.EntryIncarnation = max(m.EntryIncarnation, old.EntryIncarnation)\n", "", "./entry", "TestMembersDoNotGoBack"},
	{"a line that cannot be written ends no request", "logs/logs.go", "if why := recover(); why != nil {", "if why := any(nil); why != nil {", "./logs", "TestFieldThatCannotBeEncoded"},
	{"repeats have a price", "cascade/repeats.go", "return most * max(0, used-repeatFree)", "return 0 * max(0, used-repeatFree)", "./cascade", "TestRepeatsWhereTheyGainMost"},
	{"an entry that turns bad is not kept", "site/listing.go", "changed = l.drop(id) || changed", "", "./platform", "TestBadEntryHidesNoOther"},
	{"an answer is to the request of the platform's caller", "platform/dialect.go", `return id == string(r.ID) || id == "" && h.Get(headerSignature) == ""`, `return true || id == ""`, "./platform", "TestCrossedAnswers"},
	{"a success needs its upstream's signature", "relay/plain.go", "h.Status < http.StatusMultipleChoices && !h.Sealed", "false", "./platform", "TestOutcomes"},
	{"reserved headers are not passed on", "platform/names.go", "perConnection[name] || dropped[name] || named[name]", "perConnection[name] || dropped[name] && named[name]", "./platform", "TestPassedAsItCame"},
	{"the upstream is named in each request", "platform/dialect.go", "	set(headerInstance, string(s.Upstream.ID))\n", "", "./platform", "TestAnotherServiceHasTheAddress"},
	{"what may not run again is sent once", "retry/retry.go", "case !a.Repeatable && a.Outcome != contract.NotRun:", "case false:", "./platform", "TestOnceIsSentOnce"},
	{"what may not run again is not escalated", "relay/models.go", "return j.Route.Repeatable() && j.Route.MaxAttempts > 1 }", "return j.Route.MaxAttempts > 1 }", "./relay", "TestNoEscalationOfWhatMayNotRepeat"},
	{"a larger answer after the deadline is none", "relay/models.go", "o.Never = begins.After(j.Deadline)", "o.Never = false", "./relay", "TestNoEscalationOfWhatMayNotRepeat"},
	{"only own times are told", "reading/rates.go", "if !ok || x.seen < fewSeen {", "if !ok {", "./reading", "TestRatesDoNotEcho"},
	{"an engine that is not heard of is not idle", "upstream/group.go", "	if t.heard(s, dc) {", "	if true {", "./upstream", "TestUnheardEngines"},
	{"what no engine would read in time is refused", "relay/models.go", "return after, true", "return after, false", "./relay", "TestHopelessIsRefusedAtOnce"},
	{"a delivered event is not passed on again", "stream/events.go", "if e.seen && id <= e.last {", "if false {", "./stream", "TestEventsWholeAndOnce"},
	{"a piece of an event is forgotten at a resume", "relay/streaming.go", "		s.events.Restart()\n", "", "./platform", "TestStreamResumes"},
	{"silence is waited out where no other could answer", "relay/silence.go", "if !a.relay.another(&a.job, hung) {", "if false {", "./platform", "TestSilenceWithoutAnother"},
	{"silence ends once another could answer", "relay/silence.go", "		a.timer.Reset(lookAgain)\n", "", "./platform", "TestSilenceUntilAnother"},
	{"an undone release stays out", "relay/pick.go", "out := maps.Clone(r.undone[j.service])", "out := maps.Clone(map[string]bool{})", "./platform", "TestBadReleaseIsUndone"},
	{"nothing is on trial in the first half", "rollout/canary.go", "trialFrom = 0.52", "trialFrom = 0.4", "./rollout", "TestSessionsMoveOneWay"},
	{"an order is planned by its share", "rollout/canary.go", "full := 1 - all", "full := 0.7 + 0*all", "./rollout", "TestShareOfAnOrder"},
	{"who knows nothing of a trial does not end it", "rollout/canary.go", "	case c.blind():\n		return OrderOpen, false\n", "", "./rollout", "TestJoinsLate"},
	{"a completed release stays under the next order", "relay/rollouts.go", "		r.settled[o.Service] = o.Release\n", "", "./platform", "TestCompletedReleaseStays"},
	{"slow answers are bad", "rollout/canary.go", "if a.Failed || slow {", "if a.Failed {", "./rollout", "TestSlowRelease"},
	{"an older object does not come back", "site/ledger.go", "!had && l.known && i.Revision <= l.at && !(d.Full && d.At >= l.at)", "false", "./site", "TestStaleObject"},
	{"removals between lists are not known", "site/ledger.go", "		l.floor = max(l.floor, d.At) // what came and went before is not known\n", "", "./site", "TestRemovalBetweenLists"},
	{"lapsed is not gone", "site/listing.go", "if !e.Leaving && now.Before(until) {", "if false {", "./site", "TestRemovedAndLapsed"},
	{"a peer's word is the store's return", "site/shared.go", "	if h.Age < heardOfLate {\n		f.reached(true)\n	}\n	return Compared", "	return Compared", "./site", "TestRegainedByPeer"},
	{"a stale word is not gone by", "site/duty.go", "return d.fresh.Add(d.timing.Stale + p.wait(d.timing))", "return d.fresh.Add(time.Hour)", "./site", "TestWordStaysFresh"},
	{"few ask a store that is away", "site/duty.go", "steps := p.Near + p.Near*p.Near/fewPlaces", "steps := min(p.Near, 8)", "./site", "TestStoreAwayIsAskedByFew"},
	{"callers are not kept waiting for others' word", "site/duty.go", "case !known && !d.wanted.IsZero():", "case false:", "./platform", "TestFirstCallerIsServed"},
	{"a hub that does not answer is passed over", "site/hubs.go", "p.shun[address] = now.Add(shunFor)", "_ = now", "./site", "TestSilentHub"},
	{"VMs that went count for a while", "site/hubs.go", "n >= c.most || now.Sub(c.mostAt) > countFor", "true", "./site", "TestCountErrsToTheSafeSide"},
	{"nobody hears what it has told", "site/reads.go", "return t.from != to && !(hub && t.here) }", "return !(hub && t.here) }", "./site", "TestNobodyIsToldBack"},
	{"hubs are not told what hubs know", "site/reads.go", "return t.from != to && !(hub && t.here) }", "return t.from != to }", "./site", "TestNobodyIsToldBack"},
	{"a hub's ages hold", "vm/hubs.go", "			s.at = now.Add(-max(m.Age, 0))\n", "", "./site", "TestDeadAreForgottenOnce"},
	{"hubs tell each other of each VM", "rollout/canary.go", "if to == HearsHub {", "if false {", "./rollout", "TestEvidenceThroughHubs"},
	{"demand is that of the VMs heard of", "relay/relay.go", "if r.group.VMs > 0 {", "if false {", "./relay", "TestSendersAreThoseHeardOf"},
	{"records at risk are copied again", "entry/bills.go", "		s.copyAgain(ctx)\n", "", "./internal/fleet", "TestStopWithRecordAtRisk"},
	{"one of two watchers yields", "site/duty.go", "(d.failing || d.lead.before(d.self))", "false", "./site", "TestYields"},
	{"a watcher whose calls fail yields", "site/duty.go", "(d.failing || d.lead.before(d.self))", "d.lead.before(d.self)", "./site", "TestYields"},
	{"the fleet shares the budget's slack", "retry/window.go", "w.opts.Slack/float64(max(vms, 1))", "w.opts.Slack", "./retry", "TestFleetKeepsBudget"},
	{"a dead link is forgotten", "link/client.go", "p.conn.Context().Err() == nil && !silent", "p.conn.Context().Err() == nil && (silent || !silent)", "./link", "TestPeerRestartedSilently"},
	{"failures have room in the log", "logs/bounded.go", "if level < zapcore.WarnLevel && len(b.lines) >= maxWaiting-reserved {", "if false {", "./logs", "TestBlockedOutput"},
	{"what may have run is not repeated", "retry/retry.go", "case !a.Repeatable && a.Outcome != contract.NotRun:", "case false:", "./retry", "TestDecide"},
	{"retries stay in their budget", "retry/retry.go", "if b.saved < 1 {", "if false {", "./retry", "TestDecide"},
	{"no step on partial evidence", "rollout/stepper.go", "case s.CutOff:", "case false:", "./rollout", "TestHoldsAndHalts"},
	{"evidence may come twice", "rollout/evidence.go", "merged[i].Counts.Good = max(merged[i].Counts.Good, c.Counts.Good)", "merged[i].Counts.Good += c.Counts.Good", "./rollout", "TestEvidenceMerges"},
	{"a former life's word is dropped", "vm/vm.go", "if had && (m.Incarnation < old.member.Incarnation) {", "if false {", "./vm", "TestLateWordOfEarlierLife"},
	{"a request that has arrived is answered by a stop", "drain/drain.go", "> quietFor && !c.unread()", "> quietFor", "./drain", "TestArrivedRequest"},
	{"silent connections are not used again", "exchange/exchange.go", "c.reused && silent(ctx, err)", "false", "./exchange", "TestSilentConnections"},
	{"a stop waits for streams", "entry/server.go", "!callers.Drain(ctx)", "ctx.Err() != nil", "./internal/fleet", "TestPlannedStop"},
	{"a copy is kept before the end", "entry/bills.go", "keepers := s.keepers()", "keepers := s.keepers()[:0]", "./internal/fleet", "TestBillingSurvivesKill"},
	{"a near peer keeps copies too", "entry/bills.go", "[][]vm.Member{far, near}", "[][]vm.Member{far}", "./internal/fleet", "TestCutOff/both"},
	{"arbiters hear of results", "entry/tickets.go", "s.tellArbiters(ctx, c, ticket.Result{Outcome: contract.Ran", "s.tellArbiters(ctx, &claim{settled: true}, ticket.Result{Outcome: contract.Ran", "./internal/fleet", "TestRulingAnswerReplayed"},
}

// testTimeout bounds one mutant's test.
const testTimeout = 4 * time.Minute

func main() {
	survived := 0
	for _, m := range mutants {
		if len(os.Args) > 1 && !strings.Contains(m.rule, os.Args[1]) {
			continue
		}
		began := time.Now()
		killed, err := try(m)
		if err != nil {
			fmt.Printf("%-50s could not be tried: %v\n", m.rule, err)
			survived++
			continue
		}
		word := "fails without it"
		if !killed {
			word = "PASSES WITHOUT IT"
			survived++
		}
		fmt.Printf("%-50s %s %s: %s (%v)\n", m.rule, m.pkg, m.test, word, time.Since(began).Round(time.Second))
	}
	fmt.Printf("%d rules; the test passes without, or could not be tried without, %d of them\n", len(mutants), survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// try returns whether the test fails without the rule.
func try(m mutant) (bool, error) {
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
		return false, fmt.Errorf("%s holds %q %d times", m.file, m.old, n)
	}
	if err := os.WriteFile(path, bytes.Replace(text, []byte(m.old), []byte(m.new), 1), 0o600); err != nil {
		return false, err
	}
	if out, err := run(dir, "go", "build", "./..."); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	_, err = run(dir, "go", "test", m.pkg, "-run", m.test, "-count", "1", "-timeout", testTimeout.String())
	return err != nil, nil
}

func run(dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// copyTree copies the project's source.
func copyTree(to string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && (strings.HasPrefix(d.Name(), ".") || path == "bin" || path == "trial") {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o700)
		}
		if !strings.HasSuffix(path, ".go") && path != "go.mod" && path != "go.sum" {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), raw, 0o600)
	})
}
