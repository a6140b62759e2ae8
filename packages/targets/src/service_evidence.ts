/**
 * Finds sick targets of one service from the calls of one VM or of many.
 *
 * A target is judged against the service's other targets that are not clearly sick, over several windows.
 * Overload and faults that all targets share therefore raise the expected share and find nobody.
 */

import type * as model from "@hemlockwalk/model";
import * as windows from "./evidence_window.ts";
import * as latencies from "./latency_buckets.ts";
import * as scopes from "./fault_scope.ts";
import * as statistics from "./statistics.ts";
import type * as types from "./types.ts";

/** A call is slow when it takes this many times the route's median and the slack besides. */
const SLOW_FACTOR = 4;
const SLOW_SLACK_MILLISECONDS = 10;

/** Calls needed before a median is believed. */
const LEAST_MEDIAN_CALLS = 20;

/** Calls needed before a median is believed to tell how long is very long. */
const LEAST_ROUGH_MEDIAN_CALLS = 4;

/** Shares of bad calls that are expected of a healthy target at the least. */
const LEAST_SHARES = { broken: 0.002, failed: 0.005, slow: 0.01 } as const;

const FAULT_KINDS = ["broken", "failed", "slow"] as const;

/** The expected share is this many times the share that the other targets show. */
const PEER_SHARE_FACTOR = 2;

/** Shares of bad calls below which a target is not worth an ejection. */
const MATERIAL_SHARES = { broken: 0.1, failed: 0.1, slow: 0.4 } as const;

/** A share of one route's calls below which the route is not worth avoiding there. */
const MATERIAL_ROUTE_SHARE = 0.25;

/** The share of the other targets that may be bad as well, and the share of calls that makes one so. */
const SHARED_CAUSE_SHARE = 0.5;
const BAD_PEER_SHARE = 0.25;

/** Bad calls from which on a target with a large share of them is not compared with. */
const SICK_PEER_CALLS = 3;

/** Shares of the service's calls above which slowness is taken for overload. */
const OVERLOAD_SHED_SHARE = 0.05;
const OVERLOAD_SLOW_SHARE = 0.25;

/** A share of a target's own calls above which its slowness is taken for load. */
const TARGET_SHED_SHARE = 0.1;

/** Counts by route begin with a bad call, which this much more evidence makes up for. */
const FIRST_CALL_NATS = 5;

/** When most calls of all targets fail, no target is sicker than the others. */
const GENERAL_FAILURE_SHARE = 0.5;
const GENERAL_FAILURE_LEAST_CALLS = 8;
const GENERAL_FAILURE_WINDOW_MILLISECONDS = 8_000;

/** How sure and how widely supported a finding must be. */
export interface EvidenceOptions {
  /** Evidence, in nats, for a finding. */
  readonly nats: number;
  /** How many VMs must each have seen a bad call. */
  readonly getLeastSources: () => number;
  /** Other targets that must have been called since the first bad call, to clear the observer. */
  readonly leastPeers: number;
  /** Whether sources in several data centres are told apart. */
  readonly separatesPaths: () => boolean;
}

/** A target that is sick, as seen from somewhere. */
export interface Finding {
  readonly target: types.ShortId;
  readonly scope: types.VerdictScope;
  readonly kind: types.FaultKind;
  /** Nats against the target's being like the others. */
  readonly evidence: number;
}

/** One report of calls to one target, as it comes from a VM. */
export interface ReportedCalls {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: "answered" | "broken" | "failed" | "shed";
  /** Bucket of the latency of an answered call. */
  readonly bucket: number;
  readonly count: number;
  /** Whether the target stands in the data centre of the VM. */
  readonly near: boolean;
}

/** What recent calls showed of the targets of one service. */
export class ServiceEvidence {
  readonly #options: EvidenceOptions;
  readonly #targets = new Map<types.ShortId, windows.EvidenceWindow>();
  readonly #references = new Map<string, latencies.RecentLatencies>();
  readonly #suspicious = new Set<types.ShortId>();
  #news = false;

  constructor(options: EvidenceOptions) {
    this.#options = options;
  }

  /** Whether calls went badly since the targets were last judged. */
  get hasNews(): boolean {
    return this.#news;
  }

  /** Adds calls and tells how they count. */
  add(reported: ReportedCalls, nowMilliseconds: number): types.EvidenceKind {
    const kind = this.#classify(reported, nowMilliseconds);
    let window = this.#targets.get(reported.target);
    if (window === undefined) {
      window = new windows.EvidenceWindow();
      this.#targets.set(reported.target, window);
    }
    window.add({ ...reported, kind }, nowMilliseconds);
    if (windows.isFault(kind)) {
      this.#suspicious.add(reported.target);
      this.#news = true;
    }
    return kind;
  }

  /** Forgets what calls to a target showed, such as when it returns. */
  forget(target: types.ShortId): void {
    this.#targets.delete(target);
    this.#suspicious.delete(target);
  }

  /** Forgets all targets but the given ones. */
  retain(declared: ReadonlySet<types.ShortId>): void {
    for (const target of [...this.#targets.keys()]) {
      if (!declared.has(target)) {
        this.forget(target);
      }
    }
  }

  /** Forgets everything, such as after a pause. */
  clear(): void {
    this.#targets.clear();
    this.#references.clear();
    this.#suspicious.clear();
  }

  /** The latency from which on a call of the route counts as slow; undefined while unknown. */
  getSlowMilliseconds(route: types.ShortId, near: boolean): number | undefined {
    const median = this.#references.get(`${route} ${near}`)?.getMedian(LEAST_MEDIAN_CALLS);
    return median === undefined ? undefined : median * SLOW_FACTOR + SLOW_SLACK_MILLISECONDS;
  }

  /** The longest latency from which on calls of any route count as slow; undefined while unknown. */
  getSlowestMilliseconds(): number | undefined {
    let slowest: number | undefined;
    for (const reference of this.#references.values()) {
      const median = reference.getMedian(LEAST_ROUGH_MEDIAN_CALLS);
      if (median !== undefined) {
        const slow = median * SLOW_FACTOR + SLOW_SLACK_MILLISECONDS;
        slowest = Math.max(slowest ?? 0, slow);
      }
    }
    return slowest;
  }

  /** Whether calls were slow, by what is known of the route. */
  isSlow(reported: ReportedCalls): boolean {
    const slow = this.getSlowMilliseconds(reported.route, reported.near);
    return slow !== undefined && latencies.getBucketMilliseconds(reported.bucket) > slow;
  }

  /** Whether most calls to the targets in use fail, so that none is worth ejecting. */
  isGenerallyFailing(
    inUse: (target: types.ShortId) => boolean,
    nowMilliseconds: number,
  ): boolean {
    const sum = windows.createCounts();
    for (const [target, window] of this.#targets) {
      if (inUse(target)) {
        const since = nowMilliseconds - GENERAL_FAILURE_WINDOW_MILLISECONDS;
        windows.addCounts(sum, window.countSince(since));
      }
    }
    return sum.calls >= GENERAL_FAILURE_LEAST_CALLS &&
      sum.failed >= sum.calls * GENERAL_FAILURE_SHARE;
  }

  /**
   * Finds the targets that are sick now, those with the most evidence first.
   *
   * @param inUse Tells which targets get ordinary requests. Others are neither judged nor compared.
   */
  findSick(
    inUse: (target: types.ShortId) => boolean,
    nowMilliseconds: number,
  ): Finding[] {
    this.#news = false;
    if (this.#suspicious.size === 0) {
      return [];
    }
    const totals = new Map<types.ShortId, windows.CallCounts[]>();
    for (const [target, window] of this.#targets) {
      if (inUse(target)) {
        totals.set(target, window.getTotals(nowMilliseconds));
      }
    }
    const findings: Finding[] = [];
    for (const target of this.#suspicious) {
      const own = totals.get(target);
      const finding = own && this.#judge(target, own, totals, nowMilliseconds);
      if (finding !== undefined) {
        findings.push(finding);
      }
      if (own === undefined || !own.some((counts) => counts.failed + counts.slow > 0)) {
        this.#suspicious.delete(target);
      }
    }
    return findings.sort((left, right) => right.evidence - left.evidence);
  }

  #classify(reported: ReportedCalls, nowMilliseconds: number): types.EvidenceKind {
    if (reported.result !== "answered") {
      return reported.result;
    }
    const slow = this.isSlow(reported);
    const name = `${reported.route} ${reported.near}`;
    let reference = this.#references.get(name);
    if (reference === undefined) {
      reference = new latencies.RecentLatencies(nowMilliseconds);
      this.#references.set(name, reference);
    }
    reference.add(reported.bucket, reported.count, nowMilliseconds);
    return slow ? "slow" : "good";
  }

  #judge(
    target: types.ShortId,
    own: readonly windows.CallCounts[],
    totals: ReadonlyMap<types.ShortId, readonly windows.CallCounts[]>,
    nowMilliseconds: number,
  ): Finding | undefined {
    const longest = windows.WINDOWS_MILLISECONDS.length - 1;
    const longPeers = listPeerCounts(target, totals, longest);
    for (const kind of FAULT_KINDS) {
      for (let index = 0; index < windows.WINDOWS_MILLISECONDS.length; index++) {
        const counts = own[index];
        if (counts === undefined || !this.#canSuffice(kind, counts[kind])) {
          continue;
        }
        const peers = listPeerCounts(target, totals, index);
        const overloaded = kind === "slow" && isOverloaded(counts, peers);
        if (overloaded) {
          continue;
        }
        if (!this.#arePeersWell(target, kind, index, totals.keys(), nowMilliseconds)) {
          break;
        }
        const expected = getExpectedShare(kind, peers, longPeers);
        const finding = this.#judgeWindow(target, kind, counts, index, expected, nowMilliseconds);
        if (finding !== undefined) {
          return finding;
        }
      }
    }
    return undefined;
  }

  /** Whether so many bad calls could be a finding at all, if there were no good ones. */
  #canSuffice(kind: types.FaultKind, bad: number): boolean {
    return statistics.isAboveShare(bad, bad, LEAST_SHARES[kind], this.#options.nats);
  }

  /**
   * Whether most other targets are well since the first bad call. Otherwise the cause is shared, and
   * may be the observer itself.
   */
  #arePeersWell(
    target: types.ShortId,
    kind: types.FaultKind,
    index: number,
    inUse: Iterable<types.ShortId>,
    nowMilliseconds: number,
  ): boolean {
    const length = windows.WINDOWS_MILLISECONDS[index] ?? 0;
    const first = this.#targets.get(target)?.getFirstBad(kind, length, nowMilliseconds);
    let others = 0;
    let called = 0;
    let bad = 0;
    for (const other of inUse) {
      others += other === target ? 0 : 1;
      const counts = this.#targets.get(other)?.countSince(first ?? nowMilliseconds);
      if (other !== target && counts !== undefined && counts.calls > 0) {
        called++;
        bad += counts[kind] > 0 && counts[kind] >= counts.calls * BAD_PEER_SHARE ? 1 : 0;
      }
    }
    const leastPeers = Math.min(this.#options.leastPeers, others);
    return called >= leastPeers && (bad === 0 || bad < called * SHARED_CAUSE_SHARE);
  }

  #judgeWindow(
    target: types.ShortId,
    kind: types.FaultKind,
    counts: windows.CallCounts,
    index: number,
    expected: number,
    nowMilliseconds: number,
  ): Finding | undefined {
    const { nats, getLeastSources, separatesPaths } = this.#options;
    const length = windows.WINDOWS_MILLISECONDS[index] ?? 0;
    // No part of the calls can hold more evidence than if all bad calls were alone in it.
    if (!statistics.isAboveShare(counts[kind], counts[kind], expected, nats)) {
      return undefined;
    }
    const details = this.#targets.get(target)?.getDetails(kind, length, nowMilliseconds);
    if (details === undefined || details.sources.size < getLeastSources()) {
      return undefined;
    }
    const whole = counts[kind] >= counts.calls * MATERIAL_SHARES[kind] &&
      statistics.isAboveShare(counts[kind], counts.calls, expected, nats);
    const evidence = statistics.getEvidence(counts[kind], counts.calls, expected);
    const route = scopes.findFaultyRoute(
      details.byRoute,
      kind,
      expected,
      nats + FIRST_CALL_NATS,
      MATERIAL_ROUTE_SHARE,
    );
    if (!whole && route === undefined) {
      return undefined;
    }
    const path: scopes.PathFinding = separatesPaths()
      ? scopes.findFaultyPath(details.byDataCentre, kind, expected)
      : { spread: true };
    const dataCentre = path.spread ? undefined : path.dataCentre;
    return { target, scope: { route, dataCentre }, kind, evidence };
  }
}

function listPeerCounts(
  target: types.ShortId,
  totals: ReadonlyMap<types.ShortId, readonly windows.CallCounts[]>,
  index: number,
): windows.CallCounts[] {
  const peers: windows.CallCounts[] = [];
  for (const [other, counts] of totals) {
    const inWindow = counts[index];
    if (other !== target && inWindow !== undefined && inWindow.calls > 0) {
      peers.push(inWindow);
    }
  }
  return peers;
}

function isOverloaded(own: windows.CallCounts, peers: readonly windows.CallCounts[]): boolean {
  const sum = windows.createCounts();
  for (const counts of peers) {
    windows.addCounts(sum, counts);
  }
  return own.shed > own.calls * TARGET_SHED_SHARE ||
    sum.shed > sum.calls * OVERLOAD_SHED_SHARE ||
    sum.slow > sum.calls * OVERLOAD_SLOW_SHARE;
}

/** The share of bad calls that a healthy target may show, from the others that are not clearly sick. */
function getExpectedShare(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
  longPeers: readonly windows.CallCounts[],
): number {
  const least = LEAST_SHARES[kind];
  const now = sumHealthy(kind, peers);
  const long = sumHealthy(kind, longPeers);
  const longShare = (long[kind] + 1) / (long.calls + 1 / least);
  // A single bad call in a short window says little about the share.
  const nowShare = now[kind] > 1 ? now[kind] / now.calls : 0;
  return Math.max(least, Math.max(longShare, nowShare) * PEER_SHARE_FACTOR);
}

function sumHealthy(
  kind: types.FaultKind,
  peers: readonly windows.CallCounts[],
): windows.CallCounts {
  const sum = windows.createCounts();
  for (const counts of peers) {
    const sick = counts[kind] >= SICK_PEER_CALLS &&
      counts[kind] >= counts.calls * BAD_PEER_SHARE;
    if (!sick) {
      windows.addCounts(sum, counts);
    }
  }
  return sum;
}
