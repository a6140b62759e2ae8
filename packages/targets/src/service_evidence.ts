/**
 * Detects failing targets of one service from the calls of one VM or of many.
 *
 * This is outlier detection: over several windows, a target is compared with the service's other
 * targets that are not clearly failing. Overload and faults that affect all targets raise the
 * expected share of bad calls, so that no target is found to be failing because of them.
 */

import type * as model from "@hemlockwalk/model";
import * as comparisons from "./peer_comparison.ts";
import * as windows from "./evidence_window.ts";
import * as latencies from "./latency_buckets.ts";
import * as scopes from "./fault_scope.ts";
import * as statistics from "./statistics.ts";
import type * as types from "./types.ts";

/** A call is slow above the median of its route times this factor, plus this margin. */
const SLOW_FACTOR = 4;
const SLOW_MARGIN_MILLISECONDS = 10;

/** Calls required before a median is used to classify calls. */
const MINIMUM_MEDIAN_CALLS = 20;

/** Calls required before a median is used as a rough bound for calls of any route. */
const MINIMUM_ROUGH_MEDIAN_CALLS = 4;

const FAULT_KINDS = ["broken", "failed", "slow"] as const;

/** A target is not ejected for a smaller share of bad calls. */
const MINIMUM_EJECTION_SHARES = { broken: 0.1, failed: 0.1, slow: 0.4 } as const;

/** A target is not ejected for one route for a smaller share of bad calls on that route. */
const MINIMUM_ROUTE_EJECTION_SHARE = 0.25;

/** If this share of the other targets is failing too, the cause is assumed to be shared. */
const SHARED_CAUSE_SHARE = 0.5;

/** The counts by route begin with a bad call. This additional evidence compensates for the bias. */
const FIRST_CALL_BIAS_NATS = 5;

/** When most calls to all targets fail, no target stands out, and none is ejected. */
const GENERAL_FAILURE_SHARE = 0.5;
const GENERAL_FAILURE_MINIMUM_CALLS = 8;
const GENERAL_FAILURE_WINDOW_MILLISECONDS = 8_000;

/** How much evidence a finding requires, and from how many sources. */
export interface EvidenceOptions {
  /** Evidence, in nats, that a finding requires. */
  readonly nats: number;
  /** Number of VMs that must each have observed a bad call. */
  readonly getMinimumSources: () => number;
  /**
   * Other targets that must have been called since the first bad call, to rule out a local fault.
   */
  readonly minimumPeers: number;
  /** Whether data centres are compared, to distinguish a path fault from a fault of the target. */
  readonly comparesDataCentres: () => boolean;
}

/** A failing target, and the scope in which it fails. */
export interface Finding {
  readonly target: types.ShortId;
  readonly scope: types.VerdictScope;
  readonly kind: types.FaultKind;
  /** Evidence, in nats, that the target differs from the others. */
  readonly evidence: number;
  /** Whether the calls of some data centre show that it is not affected by the fault. */
  readonly healthyElsewhere: boolean;
}

/** Calls of one kind to one target, as reported by a VM. */
export interface ReportedCalls {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: "answered" | "broken" | "failed" | "shed";
  /** Bucket of the latency of an answered call. */
  readonly bucket: number;
  readonly count: number;
  /** Whether the target is in the data centre of the VM. */
  readonly near: boolean;
}

/** Evidence from the recent calls to the targets of one service. */
export class ServiceEvidence {
  readonly #options: EvidenceOptions;
  readonly #targets = new Map<types.ShortId, windows.EvidenceWindow>();
  readonly #referenceLatencies = new Map<string, latencies.LatencyHistogram>();
  readonly #targetsWithBadCalls = new Set<types.ShortId>();
  #hasNewBadCalls = false;

  constructor(options: EvidenceOptions) {
    this.#options = options;
  }

  /** Whether there were bad calls since the targets were last evaluated. */
  get hasNewBadCalls(): boolean {
    return this.#hasNewBadCalls;
  }

  /** Adds calls, and returns what they count as. */
  add(reported: ReportedCalls, nowMilliseconds: number): types.EvidenceKind {
    const kind = this.#classify(reported, nowMilliseconds);
    let window = this.#targets.get(reported.target);
    if (window === undefined) {
      window = new windows.EvidenceWindow();
      this.#targets.set(reported.target, window);
    }
    window.add({ ...reported, kind }, nowMilliseconds);
    if (windows.isFault(kind)) {
      this.#targetsWithBadCalls.add(reported.target);
      this.#hasNewBadCalls = true;
    }
    return kind;
  }

  /** Discards the evidence on a target, such as when it returns to use. */
  discard(target: types.ShortId): void {
    this.#targets.delete(target);
    this.#targetsWithBadCalls.delete(target);
  }

  /** Discards the evidence on a target that comes from one data centre. */
  discardFrom(target: types.ShortId, dataCentre: model.DataCentreId): void {
    this.#targets.get(target)?.discardFrom(dataCentre);
  }

  /** Discards the evidence on all targets but the given ones. */
  retain(declared: ReadonlySet<types.ShortId>): void {
    for (const target of [...this.#targets.keys()]) {
      if (!declared.has(target)) {
        this.discard(target);
      }
    }
  }

  /** Discards all evidence, such as after a pause. */
  clear(): void {
    this.#targets.clear();
    this.#referenceLatencies.clear();
    this.#targetsWithBadCalls.clear();
  }

  /** Latency above which a call of the route counts as slow; undefined with too few calls. */
  getSlowMilliseconds(route: types.ShortId, near: boolean): number | undefined {
    const median = this.#referenceLatencies.get(`${route} ${near}`)?.getMedian(
      MINIMUM_MEDIAN_CALLS,
    );
    return median === undefined ? undefined : median * SLOW_FACTOR + SLOW_MARGIN_MILLISECONDS;
  }

  /** Latency above which a call counts as slow on every route; undefined with too few calls. */
  getSlowestMilliseconds(): number | undefined {
    let slowest: number | undefined;
    for (const reference of this.#referenceLatencies.values()) {
      const median = reference.getMedian(MINIMUM_ROUGH_MEDIAN_CALLS);
      if (median !== undefined) {
        const slow = median * SLOW_FACTOR + SLOW_MARGIN_MILLISECONDS;
        slowest = Math.max(slowest ?? 0, slow);
      }
    }
    return slowest;
  }

  /** Whether calls were slow compared with earlier calls of the route. */
  isSlow(reported: ReportedCalls): boolean {
    const slow = this.getSlowMilliseconds(reported.route, reported.near);
    return slow !== undefined && latencies.getBucketMilliseconds(reported.bucket) > slow;
  }

  /** Whether most calls to the targets in use fail, so that no target should be ejected. */
  isGenerallyFailing(
    inUse: (target: types.ShortId) => boolean,
    nowMilliseconds: number,
  ): boolean {
    if (this.#targetsWithBadCalls.size === 0) {
      return false;
    }
    const sum = windows.createCounts();
    for (const [target, window] of this.#targets) {
      if (inUse(target)) {
        const since = nowMilliseconds - GENERAL_FAILURE_WINDOW_MILLISECONDS;
        windows.addCounts(sum, window.countSince(since));
      }
    }
    return sum.calls >= GENERAL_FAILURE_MINIMUM_CALLS &&
      sum.failed >= sum.calls * GENERAL_FAILURE_SHARE;
  }

  /**
   * Finds the failing targets, those with the most evidence first.
   *
   * @param inUse Whether a target gets ordinary requests. Others are neither evaluated nor compared
   * with.
   */
  findFailing(
    inUse: (target: types.ShortId) => boolean,
    nowMilliseconds: number,
  ): Finding[] {
    this.#hasNewBadCalls = false;
    if (this.#targetsWithBadCalls.size === 0) {
      return [];
    }
    const totals = new Map<types.ShortId, windows.CallCounts[]>();
    for (const [target, window] of this.#targets) {
      if (inUse(target)) {
        totals.set(target, window.getTotals(nowMilliseconds));
      }
    }
    const findings: Finding[] = [];
    for (const target of this.#targetsWithBadCalls) {
      const own = totals.get(target);
      const finding = own && this.#evaluateTarget(target, own, totals, nowMilliseconds);
      if (finding !== undefined) {
        findings.push(finding);
      }
      if (own === undefined || !own.some((counts) => counts.failed + counts.slow > 0)) {
        this.#targetsWithBadCalls.delete(target);
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
    let reference = this.#referenceLatencies.get(name);
    if (reference === undefined) {
      reference = new latencies.LatencyHistogram(nowMilliseconds);
      this.#referenceLatencies.set(name, reference);
    }
    reference.add(reported.bucket, reported.count, nowMilliseconds);
    return slow ? "slow" : "good";
  }

  #evaluateTarget(
    target: types.ShortId,
    own: readonly windows.CallCounts[],
    totals: ReadonlyMap<types.ShortId, readonly windows.CallCounts[]>,
    nowMilliseconds: number,
  ): Finding | undefined {
    const longest = windows.WINDOWS_MILLISECONDS.length - 1;
    const longTermPeers = comparisons.listPeerCounts(target, totals, longest);
    for (const kind of FAULT_KINDS) {
      for (let index = 0; index < windows.WINDOWS_MILLISECONDS.length; index++) {
        const counts = own[index];
        if (counts === undefined || !this.#canSuffice(kind, counts[kind])) {
          continue;
        }
        const peers = comparisons.listPeerCounts(target, totals, index);
        const overloaded = kind === "slow" && comparisons.isOverloaded(counts, peers);
        if (overloaded) {
          continue;
        }
        if (!this.#arePeersHealthy(target, kind, index, totals.keys(), nowMilliseconds)) {
          break;
        }
        const expected = comparisons.getExpectedShare(kind, peers, longTermPeers);
        const finding = this.#evaluateWindow(
          target,
          kind,
          counts,
          index,
          expected,
          nowMilliseconds,
        );
        if (finding !== undefined) {
          return finding;
        }
      }
    }
    return undefined;
  }

  /** Whether this number of bad calls could be a finding if there were no good calls. */
  #canSuffice(kind: types.FaultKind, bad: number): boolean {
    return statistics.isAboveShare(
      bad,
      bad,
      comparisons.MINIMUM_EXPECTED_SHARES[kind],
      this.#options.nats,
    );
  }

  /**
   * Whether most other targets have been healthy since the first bad call. Otherwise the cause is
   * shared, and may be a fault of the observing VM.
   */
  #arePeersHealthy(
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
        bad += comparisons.isFailing(kind, counts) ? 1 : 0;
      }
    }
    const minimumPeers = Math.min(this.#options.minimumPeers, others);
    return called >= minimumPeers && (bad === 0 || bad < called * SHARED_CAUSE_SHARE);
  }

  #evaluateWindow(
    target: types.ShortId,
    kind: types.FaultKind,
    counts: windows.CallCounts,
    index: number,
    expected: number,
    nowMilliseconds: number,
  ): Finding | undefined {
    const { nats, getMinimumSources, comparesDataCentres } = this.#options;
    const length = windows.WINDOWS_MILLISECONDS[index] ?? 0;
    // No part of the calls can hold more evidence than if all bad calls were alone in it.
    if (!statistics.isAboveShare(counts[kind], counts[kind], expected, nats)) {
      return undefined;
    }
    const details = this.#targets.get(target)?.getDetails(kind, length, nowMilliseconds);
    if (details === undefined || details.sources.size < getMinimumSources()) {
      return undefined;
    }
    const isTargetFailing = counts[kind] >= counts.calls * MINIMUM_EJECTION_SHARES[kind] &&
      statistics.isAboveShare(counts[kind], counts.calls, expected, nats);
    const evidence = statistics.getEvidence(counts[kind], counts.calls, expected);
    const route = scopes.findFaultyRoute(
      details.byRoute,
      kind,
      expected,
      nats + FIRST_CALL_BIAS_NATS,
      MINIMUM_ROUTE_EJECTION_SHARE,
    );
    if (!isTargetFailing && route === undefined) {
      return undefined;
    }
    const path: scopes.PathFinding = comparesDataCentres()
      ? scopes.findFaultyPath(details.byDataCentre, kind, expected)
      : { isTargetFault: true, healthyElsewhere: false };
    const dataCentre = path.isTargetFault ? undefined : path.dataCentre;
    const { healthyElsewhere } = path;
    return { target, scope: { route, dataCentre }, kind, evidence, healthyElsewhere };
  }
}
