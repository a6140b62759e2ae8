/**
 * Ejects sick targets of one service above its floor, and lets them return gradually.
 *
 * The coordinator of a service runs one over the evidence of all VMs. Each VM runs another over its
 * own calls, whose verdicts bind this VM only.
 */

import type * as model from "@hemlockwalk/model";
import * as evidences from "./service_evidence.ts";
import type * as types from "./types.ts";

/** How long a target is out the first time. Each further offence doubles it. */
const FIRST_EJECTION_MILLISECONDS = 5_000;
const LONGEST_EJECTION_MILLISECONDS = 300_000;

/** An offence is forgotten after this time in use. */
const OFFENCE_DECAY_MILLISECONDS = 120_000;

/** Good trial requests that end an ejection: the first number, and more for each offence. */
const TRIAL_SUCCESSES = 3;
const TRIAL_SUCCESSES_FOR_OFFENCE = 2;
const MOST_TRIAL_SUCCESSES = 11;

/** A trial to which no request came ends in the target's return, or it would stay out for ever. */
const TRIAL_STARVED_MILLISECONDS = 60_000;

/** Without new bad calls, targets are judged again only after this time. */
const QUIET_MILLISECONDS = 500;

/** A refusal for the same target is told again only after this time. */
const REFUSAL_REPEAT_MILLISECONDS = 5_000;

/** A probe that succeeds brings the trial forward to this share of the ejection. */
const PROBED_SHARE = 0.5;

/** A target of the service as far as the floor is concerned. */
export interface JudgedTarget {
  readonly target: types.ShortId;
  readonly leaving: boolean;
}

/** Why an ejection ended. */
export type ReturnReason = "trial" | "starved" | "general_failure" | "floor" | "self_suspect";

/** What a judge tells of itself. */
export interface JudgeEvents {
  ejected(finding: evidences.Finding): void;
  returned(target: types.ShortId, reason: ReturnReason): void;
  trialFailed(target: types.ShortId): void;
  /** An ejection was due, but would have taken the service below its floor. */
  refusedByFloor(target: types.ShortId): void;
}

/** How a judge works. Tests switch guards off to show that their checks notice. */
export interface JudgeOptions extends evidences.EvidenceOptions {
  readonly keepFloor: boolean;
}

interface Ejection {
  readonly target: types.ShortId;
  readonly scope: types.VerdictScope;
  offences: number;
  state: types.Verdict["state"];
  /** When the state began, or the last trial request was reported. */
  since: number;
  until: number;
  trialSuccesses: number;
}

interface Offences {
  count: number;
  at: number;
}

/** Judges the targets of one service. */
export class ServiceJudge {
  readonly evidence: evidences.ServiceEvidence;
  readonly #options: JudgeOptions;
  readonly #events: JudgeEvents;
  readonly #offences = new Map<types.ShortId, Offences>();
  readonly #refusedAt = new Map<types.ShortId, number>();
  #ejections: Ejection[] = [];
  #declared = new Map<types.ShortId, JudgedTarget>();
  #allowance = 0;
  #judgedAt = Number.NEGATIVE_INFINITY;
  #version = 0;

  constructor(options: JudgeOptions, events: JudgeEvents) {
    this.#options = options;
    this.#events = events;
    this.evidence = new evidences.ServiceEvidence(options);
  }

  /** Grows with each change of the verdicts. */
  get version(): number {
    return this.#version;
  }

  /** Whether any target is out of use. */
  get hasVerdicts(): boolean {
    return this.#ejections.length > 0;
  }

  /** Takes over the declared targets and how many of them may be out besides the leaving ones. */
  declare(targets: readonly JudgedTarget[], allowance: number): void {
    this.#declared = new Map(targets.map((target) => [target.target, target]));
    this.#allowance = allowance;
    this.evidence.retain(new Set(this.#declared.keys()));
    for (const history of [this.#offences, this.#refusedAt]) {
      for (const target of [...history.keys()]) {
        if (!this.#declared.has(target)) {
          history.delete(target);
        }
      }
    }
    this.#keep((ejection) => this.#declared.get(ejection.target)?.leaving === false);
    while (this.#options.keepFloor && this.#countLargestOut() > this.#allowance) {
      const last = this.#ejections.at(-1);
      if (last === undefined) {
        return;
      }
      this.#return(last, "floor");
    }
  }

  /** Takes what calls showed. Calls of a trial decide on the target's return. */
  report(calls: evidences.ReportedCalls, trial: boolean, nowMilliseconds: number): void {
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
   * Takes over an ejection that a VM still holds from an earlier coordinator. Its end is never put
   * off by this.
   */
  adopt(verdict: types.Verdict, nowMilliseconds: number): void {
    if (!this.#mayEject(verdict.target, verdict.scope)) {
      return;
    }
    this.#ejections.push({
      target: verdict.target,
      scope: verdict.scope,
      offences: verdict.offences,
      state: verdict.state,
      since: nowMilliseconds,
      until: nowMilliseconds +
        Math.min(verdict.remainingMilliseconds, LONGEST_EJECTION_MILLISECONDS),
      trialSuccesses: 0,
    });
    this.#offences.set(verdict.target, { count: verdict.offences, at: nowMilliseconds });
    this.#version++;
  }

  /** Takes note that a probe succeeded. It only brings the trial by real requests forward. */
  noteProbeSuccess(target: types.ShortId): void {
    for (const ejection of this.#ejections) {
      if (ejection.target === target && ejection.state === "out") {
        const length = ejection.until - ejection.since;
        ejection.until = Math.min(ejection.until, ejection.since + length * PROBED_SHARE);
      }
    }
  }

  /** Ejects what is sick now and starts the trials that are due. */
  evaluate(nowMilliseconds: number): void {
    this.#startTrials(nowMilliseconds);
    if (!this.evidence.hasNews && nowMilliseconds - this.#judgedAt < QUIET_MILLISECONDS) {
      return;
    }
    this.#judgedAt = nowMilliseconds;
    const inUse = (target: types.ShortId) => this.#isInUse(target);
    if (this.evidence.isGenerallyFailing(inUse, nowMilliseconds)) {
      this.returnAll("general_failure");
      return;
    }
    for (const finding of this.evidence.findSick(inUse, nowMilliseconds)) {
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
      offences: ejection.offences,
    }));
  }

  /** Ends all ejections. */
  returnAll(reason: ReturnReason): void {
    for (const ejection of [...this.#ejections]) {
      this.#return(ejection, reason);
    }
  }

  /** Forgets the evidence, such as after a pause. Ejections run on. */
  voidEvidence(): void {
    this.evidence.clear();
  }

  #classifyTrial(calls: evidences.ReportedCalls): types.EvidenceKind {
    if (calls.result !== "answered") {
      return calls.result;
    }
    return this.evidence.isSlow(calls) ? "slow" : "good";
  }

  #countSuccess(ejection: Ejection, count: number): void {
    ejection.trialSuccesses += count;
    const needed = TRIAL_SUCCESSES + TRIAL_SUCCESSES_FOR_OFFENCE * (ejection.offences - 1);
    if (ejection.trialSuccesses >= Math.min(needed, MOST_TRIAL_SUCCESSES)) {
      this.#return(ejection, "trial");
    }
  }

  #failTrial(ejection: Ejection, nowMilliseconds: number): void {
    ejection.offences++;
    this.#offences.set(ejection.target, { count: ejection.offences, at: nowMilliseconds });
    ejection.state = "out";
    ejection.since = nowMilliseconds;
    ejection.until = nowMilliseconds + getEjectionMilliseconds(ejection.offences);
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
        nowMilliseconds - ejection.since >= TRIAL_STARVED_MILLISECONDS
      ) {
        this.#return(ejection, "starved");
      }
    }
  }

  #eject(found: evidences.Finding, nowMilliseconds: number): void {
    const finding = this.#widen(found);
    if (!this.#mayEject(finding.target, finding.scope)) {
      this.#tellRefusal(finding.target, nowMilliseconds);
      return;
    }
    // A wider ejection takes the place of narrower ones.
    this.#keep((ejection) =>
      ejection.target !== finding.target || !includes(finding.scope, ejection.scope)
    );
    const offences = this.#countOffence(finding.target, nowMilliseconds);
    this.#ejections.push({
      target: finding.target,
      scope: finding.scope,
      offences,
      state: "out",
      since: nowMilliseconds,
      until: nowMilliseconds + getEjectionMilliseconds(offences),
      trialSuccesses: 0,
    });
    if (finding.scope.dataCentre === undefined) {
      this.evidence.forget(finding.target);
    } else {
      this.evidence.forgetFrom(finding.target, finding.scope.dataCentre);
    }
    this.#version++;
    this.#events.ejected(finding);
  }

  /** A second data centre that sees the fault shows the target's own, unless a third does not see it. */
  #widen(finding: evidences.Finding): evidences.Finding {
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

  #tellRefusal(target: types.ShortId, nowMilliseconds: number): void {
    const last = this.#refusedAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (nowMilliseconds - last >= REFUSAL_REPEAT_MILLISECONDS) {
      this.#refusedAt.set(target, nowMilliseconds);
      this.#events.refusedByFloor(target);
    }
  }

  #countOffence(target: types.ShortId, nowMilliseconds: number): number {
    const earlier = this.#offences.get(target);
    const decayed = earlier === undefined
      ? 0
      : Math.floor((nowMilliseconds - earlier.at) / OFFENCE_DECAY_MILLISECONDS);
    const count = Math.max(0, (earlier?.count ?? 0) - decayed) + 1;
    this.#offences.set(target, { count, at: nowMilliseconds });
    return count;
  }

  #return(
    ejection: Ejection,
    reason: ReturnReason,
  ): void {
    this.#keep((other) => other !== ejection);
    this.evidence.forget(ejection.target);
    this.#events.returned(ejection.target, reason);
  }

  #keep(condition: (ejection: Ejection) => boolean): void {
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
    // A target that is out for this scope already has evidence on the way from before.
    const covered = this.#ejections.some((ejection) =>
      ejection.target === target && includes(ejection.scope, scope)
    );
    if (covered) {
      return false;
    }
    return !this.#options.keepFloor || this.#countLargestOut({ target, scope }) <= this.#allowance;
  }

  /** The most targets that are out from any one data centre, those out for any route included. */
  #countLargestOut(added?: Pick<Ejection, "target" | "scope">): number {
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

function getEjectionMilliseconds(offences: number): number {
  return Math.min(
    FIRST_EJECTION_MILLISECONDS * 2 ** (offences - 1),
    LONGEST_EJECTION_MILLISECONDS,
  );
}
