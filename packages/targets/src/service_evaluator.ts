/**
 * Ejects failing targets of one service within the limits of its floor, and returns them to use
 * after successful trial requests.
 *
 * The coordinator of a service runs one evaluator on the evidence of all VMs. Each VM runs another
 * one on its own calls, whose verdicts apply to this VM only.
 */

import type * as model from "@hemlockwalk/model";
import * as serviceEvidence from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Duration of the first ejection of a target. Each further one doubles it, up to the longest. */
const FIRST_EJECTION_MILLISECONDS = 5_000;
const LONGEST_EJECTION_MILLISECONDS = 300_000;

/** The number of recent ejections decreases by one for each such time since the last one. */
const EJECTION_COUNT_DECAY_MILLISECONDS = 120_000;

/** Successful trial requests that end the first ejection, and more for each further one. */
const TRIAL_SUCCESSES = 3;
const TRIAL_SUCCESSES_PER_EJECTION = 2;
const MAXIMUM_TRIAL_SUCCESSES = 11;

/** A trial without requests for this long returns the target to use, or it might never end. */
const TRIAL_IDLE_MILLISECONDS = 60_000;

/** Without new bad calls, targets are evaluated again only after this time. */
const IDLE_EVALUATION_MILLISECONDS = 500;

/** An ejection refused by the floor is reported again for the same target only after this time. */
const REFUSAL_REPEAT_MILLISECONDS = 5_000;

/** A successful probe shortens the ejection to this share of its duration. */
const PROBED_EJECTION_SHARE = 0.5;

/** A declared target of the service. */
export interface EvaluatedTarget {
  readonly target: types.ShortId;
  readonly leaving: boolean;
}

/** Why an ejection ended. */
export type ReturnReason = "trial" | "starved" | "general_failure" | "floor" | "self_suspect";

/** Events of an evaluator. */
export interface EvaluatorEvents {
  ejected(finding: serviceEvidence.Finding): void;
  returned(target: types.ShortId, reason: ReturnReason): void;
  trialFailed(target: types.ShortId): void;
  /** An ejection was due, but would have taken the service below its floor. */
  refusedByFloor(target: types.ShortId): void;
}

/** Options of an evaluator. Tests disable its guard to verify that they detect its absence. */
export interface EvaluatorOptions extends serviceEvidence.EvidenceOptions {
  readonly enforceFloor: boolean;
}

interface Ejection {
  readonly target: types.ShortId;
  readonly scope: types.VerdictScope;
  ejectionCount: number;
  state: types.Verdict["state"];
  /** When the state began, or the last trial request was reported. */
  since: number;
  until: number;
  trialSuccesses: number;
}

interface EjectionCount {
  count: number;
  at: number;
}

/** Evaluates the targets of one service, and decides on their ejection and return. */
export class ServiceEvaluator {
  readonly evidence: serviceEvidence.ServiceEvidence;
  readonly #options: EvaluatorOptions;
  readonly #events: EvaluatorEvents;
  readonly #ejectionCounts = new Map<types.ShortId, EjectionCount>();
  readonly #refusedAt = new Map<types.ShortId, number>();
  #ejections: Ejection[] = [];
  #declared = new Map<types.ShortId, EvaluatedTarget>();
  #allowance = 0;
  #evaluatedAt = Number.NEGATIVE_INFINITY;
  #version = 0;

  constructor(options: EvaluatorOptions, events: EvaluatorEvents) {
    this.#options = options;
    this.#events = events;
    this.evidence = new serviceEvidence.ServiceEvidence(options);
  }

  /** Incremented with each change of the verdicts. */
  get version(): number {
    return this.#version;
  }

  /** Whether any target is out of use. */
  get hasVerdicts(): boolean {
    return this.#ejections.length > 0;
  }

  /** Sets the declared targets, and how many may be out of use in addition to the leaving ones. */
  setTargets(targets: readonly EvaluatedTarget[], allowance: number): void {
    this.#declared = new Map(targets.map((target) => [target.target, target]));
    this.#allowance = allowance;
    this.evidence.retain(new Set(this.#declared.keys()));
    for (const history of [this.#ejectionCounts, this.#refusedAt]) {
      for (const target of [...history.keys()]) {
        if (!this.#declared.has(target)) {
          history.delete(target);
        }
      }
    }
    this.#retain((ejection) => this.#declared.get(ejection.target)?.leaving === false);
    while (this.#options.enforceFloor && this.#countMaximumOut() > this.#allowance) {
      const last = this.#ejections.at(-1);
      if (last === undefined) {
        return;
      }
      this.#return(last, "floor");
    }
  }

  /** Records reported calls. Those of a trial determine whether the target returns to use. */
  report(calls: serviceEvidence.ReportedCalls, trial: boolean, nowMilliseconds: number): void {
    if (!this.#declared.has(calls.target)) {
      return;
    }
    if (!trial) {
      this.evidence.add(calls, nowMilliseconds);
      return;
    }
    const kind = this.#classifyTrial(calls);
    const ejection = this.#ejections.find((candidate) =>
      candidate.target === calls.target && candidate.state === "trial" &&
      covers(candidate.scope, calls.dataCentre, calls.route)
    );
    if (ejection === undefined || kind === "shed") {
      return;
    }
    ejection.since = nowMilliseconds;
    if (kind === "good") {
      this.#countSuccess(ejection, calls.count);
    } else {
      this.#failTrial(ejection, nowMilliseconds);
    }
  }

  /**
   * Adopts an ejection that a VM still holds from an earlier coordinator. This never extends the
   * ejection.
   */
  adopt(verdict: types.Verdict, nowMilliseconds: number): void {
    if (!this.#mayEject(verdict.target, verdict.scope)) {
      return;
    }
    this.#ejections.push({
      target: verdict.target,
      scope: verdict.scope,
      ejectionCount: verdict.ejectionCount,
      state: verdict.state,
      since: nowMilliseconds,
      until: nowMilliseconds +
        Math.min(verdict.remainingMilliseconds, LONGEST_EJECTION_MILLISECONDS),
      trialSuccesses: 0,
    });
    this.#ejectionCounts.set(verdict.target, { count: verdict.ejectionCount, at: nowMilliseconds });
    this.#version++;
  }

  /** Records a successful probe. This only lets the trial requests begin earlier. */
  recordProbeSuccess(target: types.ShortId): void {
    for (const ejection of this.#ejections) {
      if (ejection.target === target && ejection.state === "out") {
        const length = ejection.until - ejection.since;
        ejection.until = Math.min(ejection.until, ejection.since + length * PROBED_EJECTION_SHARE);
      }
    }
  }

  /** Ejects failing targets and starts the trials that are due. */
  evaluate(nowMilliseconds: number): void {
    this.#startTrials(nowMilliseconds);
    if (
      !this.evidence.hasNewBadCalls &&
      nowMilliseconds - this.#evaluatedAt < IDLE_EVALUATION_MILLISECONDS
    ) {
      return;
    }
    this.#evaluatedAt = nowMilliseconds;
    const inUse = (target: types.ShortId) => this.#isInUse(target);
    if (this.evidence.isGenerallyFailing(inUse, nowMilliseconds)) {
      this.returnAll("general_failure");
      return;
    }
    for (const finding of this.evidence.findFailing(inUse, nowMilliseconds)) {
      this.#eject(finding, nowMilliseconds);
    }
  }

  /** The verdicts in force, oldest first. */
  listVerdicts(nowMilliseconds: number): types.Verdict[] {
    return this.#ejections.map((ejection) => ({
      target: ejection.target,
      scope: ejection.scope,
      state: ejection.state,
      remainingMilliseconds: Math.max(0, Math.round(ejection.until - nowMilliseconds)),
      ejectionCount: ejection.ejectionCount,
    }));
  }

  /** Ends all ejections. */
  returnAll(reason: ReturnReason): void {
    for (const ejection of [...this.#ejections]) {
      this.#return(ejection, reason);
    }
  }

  /** Discards the evidence, such as after a pause. Ejections remain in force. */
  discardEvidence(): void {
    this.evidence.clear();
  }

  #classifyTrial(calls: serviceEvidence.ReportedCalls): types.EvidenceKind {
    if (calls.result !== "answered") {
      return calls.result;
    }
    return this.evidence.isSlow(calls) ? "slow" : "good";
  }

  #countSuccess(ejection: Ejection, count: number): void {
    ejection.trialSuccesses += count;
    const needed = TRIAL_SUCCESSES + TRIAL_SUCCESSES_PER_EJECTION * (ejection.ejectionCount - 1);
    if (ejection.trialSuccesses >= Math.min(needed, MAXIMUM_TRIAL_SUCCESSES)) {
      this.#return(ejection, "trial");
    }
  }

  #failTrial(ejection: Ejection, nowMilliseconds: number): void {
    ejection.ejectionCount++;
    this.#ejectionCounts.set(ejection.target, {
      count: ejection.ejectionCount,
      at: nowMilliseconds,
    });
    ejection.state = "out";
    ejection.since = nowMilliseconds;
    ejection.until = nowMilliseconds + getEjectionMilliseconds(ejection.ejectionCount);
    ejection.trialSuccesses = 0;
    this.#version++;
    this.#events.trialFailed(ejection.target);
  }

  #startTrials(nowMilliseconds: number): void {
    for (const ejection of [...this.#ejections]) {
      if (ejection.state === "out" && ejection.until <= nowMilliseconds) {
        ejection.state = "trial";
        ejection.since = nowMilliseconds;
        this.#version++;
      } else if (
        ejection.state === "trial" &&
        nowMilliseconds - ejection.since >= TRIAL_IDLE_MILLISECONDS
      ) {
        this.#return(ejection, "starved");
      }
    }
  }

  #eject(found: serviceEvidence.Finding, nowMilliseconds: number): void {
    const finding = this.#widen(found);
    if (!this.#mayEject(finding.target, finding.scope)) {
      this.#reportRefusal(finding.target, nowMilliseconds);
      return;
    }
    // A wider ejection replaces narrower ones.
    this.#retain((ejection) =>
      ejection.target !== finding.target || !includes(finding.scope, ejection.scope)
    );
    const ejectionCount = this.#incrementEjectionCount(finding.target, nowMilliseconds);
    this.#ejections.push({
      target: finding.target,
      scope: finding.scope,
      ejectionCount,
      state: "out",
      since: nowMilliseconds,
      until: nowMilliseconds + getEjectionMilliseconds(ejectionCount),
      trialSuccesses: 0,
    });
    if (finding.scope.dataCentre === undefined) {
      this.evidence.discard(finding.target);
    } else {
      this.evidence.discardFrom(finding.target, finding.scope.dataCentre);
    }
    this.#version++;
    this.#events.ejected(finding);
  }

  /**
   * Widens a finding to all data centres if the target is already ejected for another one: two
   * affected data centres show a fault of the target itself, unless some data centre is shown to be
   * unaffected.
   */
  #widen(finding: serviceEvidence.Finding): serviceEvidence.Finding {
    const { target, scope, healthyElsewhere } = finding;
    const seenBefore = this.#ejections.some((ejection) =>
      ejection.target === target && ejection.scope.route === scope.route &&
      ejection.scope.dataCentre !== undefined && ejection.scope.dataCentre !== scope.dataCentre
    );
    if (scope.dataCentre === undefined || healthyElsewhere || !seenBefore) {
      return finding;
    }
    return { ...finding, scope: { route: scope.route } };
  }

  #reportRefusal(target: types.ShortId, nowMilliseconds: number): void {
    const last = this.#refusedAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (nowMilliseconds - last >= REFUSAL_REPEAT_MILLISECONDS) {
      this.#refusedAt.set(target, nowMilliseconds);
      this.#events.refusedByFloor(target);
    }
  }

  #incrementEjectionCount(target: types.ShortId, nowMilliseconds: number): number {
    const earlier = this.#ejectionCounts.get(target);
    const decayed = earlier === undefined
      ? 0
      : Math.floor((nowMilliseconds - earlier.at) / EJECTION_COUNT_DECAY_MILLISECONDS);
    const count = Math.max(0, (earlier?.count ?? 0) - decayed) + 1;
    this.#ejectionCounts.set(target, { count, at: nowMilliseconds });
    return count;
  }

  #return(
    ejection: Ejection,
    reason: ReturnReason,
  ): void {
    this.#retain((other) => other !== ejection);
    this.evidence.discard(ejection.target);
    this.#events.returned(ejection.target, reason);
  }

  #retain(condition: (ejection: Ejection) => boolean): void {
    const kept = this.#ejections.filter(condition);
    if (kept.length !== this.#ejections.length) {
      this.#ejections = kept;
      this.#version++;
    }
  }

  #isInUse(target: types.ShortId): boolean {
    return this.#declared.get(target)?.leaving === false &&
      !this.#ejections.some((ejection) =>
        ejection.target === target && ejection.scope.dataCentre === undefined &&
        ejection.scope.route === undefined
      );
  }

  #mayEject(target: types.ShortId, scope: types.VerdictScope): boolean {
    if (this.#declared.get(target)?.leaving !== false) {
      return false;
    }
    // Evidence from before an ejection may still arrive after it.
    const covered = this.#ejections.some((ejection) =>
      ejection.target === target && includes(ejection.scope, scope)
    );
    if (covered) {
      return false;
    }
    return !this.#options.enforceFloor ||
      this.#countMaximumOut({ target, scope }) <= this.#allowance;
  }

  /** Largest number of targets out of use in any data centre, for all routes or only for one. */
  #countMaximumOut(added?: Pick<Ejection, "target" | "scope">): number {
    const all = added === undefined ? this.#ejections : [...this.#ejections, added];
    const dataCentres = new Set<model.DataCentreId | undefined>(
      all.map((ejection) => ejection.scope.dataCentre),
    );
    let largest = 0;
    for (const dataCentre of dataCentres) {
      const out = new Set<types.ShortId>();
      for (const ejection of all) {
        const from = ejection.scope.dataCentre;
        if (from === undefined || from === dataCentre) {
          out.add(ejection.target);
        }
      }
      largest = Math.max(largest, out.size);
    }
    return largest;
  }
}

/** Whether a scope covers requests of a route from a data centre. */
export function covers(
  scope: types.VerdictScope,
  dataCentre: model.DataCentreId,
  route: types.ShortId,
): boolean {
  return (scope.dataCentre === undefined || scope.dataCentre === dataCentre) &&
    (scope.route === undefined || scope.route === route);
}

function includes(wider: types.VerdictScope, narrower: types.VerdictScope): boolean {
  return (wider.dataCentre === undefined || wider.dataCentre === narrower.dataCentre) &&
    (wider.route === undefined || wider.route === narrower.route);
}

function getEjectionMilliseconds(ejectionCount: number): number {
  return Math.min(
    FIRST_EJECTION_MILLISECONDS * 2 ** (ejectionCount - 1),
    LONGEST_EJECTION_MILLISECONDS,
  );
}
