/**
 * Tracks the state of the targets: the outcomes of all VMs' calls and the load of all VMs.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as reach from "./reachability.ts";
import type * as types from "./types.ts";

/**
 * How long a target is avoided after another target has responded at its address, which means that
 * its entry is out of date.
 */
const MISDIRECTED_MILLISECONDS = 700;

/** How long a target that shed a request is treated as having no free slot. */
const FULL_MILLISECONDS = 150;

/** Approximate propagation delay of other VMs' outcomes. */
const PROPAGATION_DELAY_MILLISECONDS = 80;

/** Outcomes that are reported to the other VMs without delay. */
const URGENT_OUTCOMES: ReadonlySet<placement.Outcome> = new Set([
  "error",
  "silent",
  "overdue",
]);

/**
 * Outcomes with a section of their own. VMs of earlier versions do not know them, and in the section
 * `outcomes` an unknown one would end the handling of the whole report there.
 */
const OPEN_CALL_OUTCOMES: ReadonlySet<placement.Outcome> = new Set(["overdue", "late"]);

/** Most characters of unknown evidence in a log line. */
const MAX_LOGGED_CHARACTERS = 80;

/** Interval in which all loads are reported, in case a report was lost while its path changed. */
const FULL_LOADS_INTERVAL_MILLISECONDS = 2_000;

/** Loads of one VM: all that are not zero, or only those that have changed. */
type LoadPayload = readonly [isFull: boolean, loads: Record<string, number>];

/** Outcomes of one kind that are to be reported. */
interface OutcomeSummary {
  count: number;
  /** Monotonic time at which the latest of the calls began, in milliseconds. */
  startedAt: number;
}

/** A summary as sent to other VMs. It holds a relative time, since the clocks of VMs differ. */
type OutcomeReport = readonly [
  outcome: placement.Outcome,
  count: number,
  startedAgoMilliseconds: number,
];

type OutcomeTable = Map<placement.Outcome, OutcomeSummary>;

/** Outcomes that are to be reported, by target. */
type OutcomeTables = Map<model.TargetId, OutcomeTable>;

interface TargetRecord {
  health: placement.HealthEstimate;
  ownLoad: number;
  readonly loadByVm: Map<model.VmId, number>;
  othersLoad: number;
  avoidedUntil: number;
  fullUntil: number;
}

/** Tracks the health and load of each target. */
export class TargetTracker {
  readonly #directory: declarations.TargetDirectory;
  readonly #mesh: mesh.Mesh;
  readonly #logger: kernel.ComponentLogger;
  readonly #pauseCounter: kernel.Counter<"result">;
  readonly #openCallCounter: kernel.Counter<"result">;
  readonly #records = new Map<model.TargetId, TargetRecord>();
  readonly #unreportedOutcomes: OutcomeTables = new Map();
  readonly #unreportedOpenCalls: OutcomeTables = new Map();
  readonly #vmsWithIgnoredEvidence = new Set<model.VmId>();
  #fullLoadsAt = Number.NEGATIVE_INFINITY;
  readonly #unreportedLoads = new Set<model.TargetId>();
  readonly processingTimes = new placement.ProcessingTimes();
  readonly reachability: reach.Reachability;
  readonly #pauses = new placement.TargetPauses();
  readonly #rates: placement.TargetRates;

  constructor(
    directory: declarations.TargetDirectory,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
    getPresentShare: () => number,
    sourceAddress: string,
  ) {
    this.#directory = directory;
    this.#mesh = vmMesh;
    this.#logger = logger;
    this.#pauseCounter = metrics.createCounter(
      "hemlockwalk_target_pauses_total",
      "Pauses requested by targets, by result.",
      ["result"],
    );
    this.#openCallCounter = metrics.createCounter(
      "hemlockwalk_overdue_calls_total",
      "Calls that were overdue while they still ran, and those that succeeded late.",
      ["result"],
    );
    this.#rates = new placement.TargetRates(
      vmMesh.self.vm,
      () => ({ members: [vmMesh.self, ...vmMesh.listOthers()], presentShare: getPresentShare() }),
    );
    this.reachability = new reach.Reachability(
      (target) => directory.find(target)?.address,
      logger,
      sourceAddress,
    );
    directory.onChange((change, previous) => this.#resetReplacedTarget(change, previous));
    vmMesh.addSection("outcomes", {
      collect: () => collectOutcomes(this.#unreportedOutcomes),
      receive: (from, payload) => this.#receiveOutcomes(from.vm, payload),
    });
    vmMesh.addSection("open_calls", {
      collect: () => collectOutcomes(this.#unreportedOpenCalls),
      receive: (from, payload) => this.#receiveOutcomes(from.vm, payload),
    });
    vmMesh.addSection("loads", {
      collect: () => this.#collectLoads(),
      receive: (from, payload) => this.#receiveLoads(from.vm, payload),
    });
  }

  /** Lists the candidates of a service, without the excluded targets. */
  listCandidates(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
  ): placement.Candidate[] {
    const now = kernel.getMonotonicMilliseconds();
    return this.#directory.listServing(service)
      .filter((entry) => !excluded.has(entry.id) && this.#getWait(entry) === 0)
      .map((entry) => this.#createCandidate(entry, now));
  }

  /**
   * Finds the first target of a service that will accept requests from this VM, among those that
   * accept none now; undefined if there are none but the excluded ones.
   */
  findShortestWait(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
  ): placement.TargetWait | undefined {
    const waits = this.#directory.listServing(service)
      .filter(({ id }) => !excluded.has(id))
      .map((entry) => ({
        milliseconds: this.#getWait(entry),
        isPause: this.#pauses.getRemaining(entry.id) > 0,
      }))
      .filter(({ milliseconds }) => milliseconds > 0);
    return waits.length === 0
      ? undefined
      : waits.reduce((first, wait) => wait.milliseconds < first.milliseconds ? wait : first);
  }

  /** Takes this VM's part of a limited target's rate for a request that is sent to it. */
  takeRate(target: model.TargetId): void {
    this.#rates.take(target);
  }

  /** Time until a target accepts a request from this VM; infinity if that is not foreseeable. */
  #getWait(entry: declarations.TargetEntry): number {
    const pause = this.#pauses.getRemaining(entry.id);
    const rate = this.#directory.findRate(entry.id);
    if (rate === undefined) {
      this.#rates.removeTarget(entry.id);
      return pause;
    }
    return Math.max(pause, this.#rates.getWait(entry.id, entry.dataCentre, rate));
  }

  /** Whether an incarnation of a target still accepts requests from this VM. */
  accepts(target: declarations.TargetEntry): boolean {
    const known = this.#directory.find(target.id);
    return known !== undefined && !known.isDraining && known.startedAt === target.startedAt &&
      this.#pauses.getRemaining(target.id) === 0;
  }

  /**
   * Starts the pause that a target has requested, in seconds, as it stated it. A text that states
   * no time is logged and ignored.
   */
  startPause(target: model.TargetId, retryAfter: string): void {
    const requested = placement.parsePause(retryAfter);
    if (requested.kind === "invalid") {
      this.#logger.write(kernel.LogMessages.targetPauseInvalid, { target, stated: retryAfter });
      this.#pauseCounter.inc({ result: "ignored" });
      return;
    }
    this.#pauses.start(target, requested.milliseconds);
    this.#pauseCounter.inc({ result: requested.isShortened ? "shortened" : "accepted" });
    this.#logger.write(kernel.LogMessages.targetPaused, {
      target,
      stated: retryAfter,
      milliseconds: Math.round(requested.milliseconds),
    });
  }

  findTarget(target: model.TargetId): declarations.TargetEntry | undefined {
    return this.#directory.find(target);
  }

  beginCall(target: model.TargetId): void {
    this.#getRecord(target).ownLoad++;
    this.#unreportedLoads.add(target);
  }

  endCall(target: model.TargetId): void {
    this.#getRecord(target).ownLoad--;
    this.#unreportedLoads.add(target);
  }

  /**
   * Records the outcome of a call of this VM.
   *
   * @param startedAt Monotonic time at which the call began, in milliseconds.
   */
  recordOutcome(target: model.TargetId, outcome: placement.Outcome, startedAt: number): void {
    const record = this.#getRecord(target);
    const before = record.health.failureProbability;
    record.health.recordOutcome(outcome, startedAt);
    const isOpenCall = OPEN_CALL_OUTCOMES.has(outcome);
    if (isOpenCall) {
      this.#openCallCounter.inc({ result: outcome });
    }
    const tables = isOpenCall ? this.#unreportedOpenCalls : this.#unreportedOutcomes;
    const table = tables.get(target) ?? new Map<never, never>();
    const previous = table.get(outcome);
    table.set(outcome, {
      count: (previous?.count ?? 0) + 1,
      startedAt: Math.max(previous?.startedAt ?? startedAt, startedAt),
    });
    tables.set(target, table);
    if (URGENT_OUTCOMES.has(outcome)) {
      this.#mesh.reportSoon();
    }
    this.#logChange(target, before, record.health.failureProbability, outcome);
  }

  /** Time after which a call of a route to a target is overdue, in milliseconds. */
  getOverdueMilliseconds(target: model.TargetId, route: types.AcceptedRequest["route"]): number {
    const mean = this.processingTimes.getRouteMean(route.id, route.objectiveMilliseconds);
    return placement.getOverdueMilliseconds(
      mean * this.processingTimes.getRelativeTime(target),
      route.objectiveMilliseconds,
    );
  }

  /**
   * Records that a target has shed a request; returns whether all its slots seemed to be in use.
   */
  recordShed(target: model.TargetId): boolean {
    const record = this.#getRecord(target);
    const slots = this.#directory.find(target)?.slots ?? 0;
    const isFull = record.ownLoad + record.othersLoad >= slots;
    if (isFull) {
      record.fullUntil = kernel.getMonotonicMilliseconds() + FULL_MILLISECONDS;
    }
    return isFull;
  }

  /**
   * Records that this VM could not connect to a target, or that another target responded at its
   * address.
   */
  recordNotReached(target: model.TargetId, isUnreachable: boolean): void {
    if (isUnreachable) {
      this.reachability.recordUnreachable(target);
      return;
    }
    this.#getRecord(target).avoidedUntil = kernel.getMonotonicMilliseconds() +
      MISDIRECTED_MILLISECONDS;
  }

  /** Drops the loads of VMs that have left, and the state of targets that are gone. */
  dropDepartedVms(): void {
    const present = new Set(this.#mesh.listOthers().map((member) => member.vm));
    for (const vm of this.#vmsWithIgnoredEvidence) {
      if (!present.has(vm)) {
        this.#vmsWithIgnoredEvidence.delete(vm);
      }
    }
    for (const [target, record] of this.#records) {
      for (const [vm, load] of record.loadByVm) {
        if (!present.has(vm)) {
          record.loadByVm.delete(vm);
          record.othersLoad -= load;
        }
      }
      const isUnused = this.#directory.find(target) === undefined && record.ownLoad === 0 &&
        record.loadByVm.size === 0;
      if (isUnused) {
        this.#records.delete(target);
        this.processingTimes.removeTarget(target);
        this.reachability.removeTarget(target);
        this.#pauses.removeTarget(target);
        this.#rates.removeTarget(target);
      }
    }
  }

  #createCandidate(entry: declarations.TargetEntry, now: number): placement.Candidate {
    const record = this.#getRecord(entry.id);
    const isFull = record.fullUntil > now;
    const load = record.ownLoad + record.othersLoad;
    const knownFor = now - (this.#directory.getAppliedAt(entry.id) ?? now);
    return {
      id: entry.id,
      slots: entry.slots,
      load: isFull ? Math.max(load, entry.slots) : load,
      failureProbability: record.health.failureProbability,
      sinceLastOutcomeMilliseconds: now - record.health.lastOutcomeAt,
      evidenceAgeMilliseconds: now - record.health.evidenceAt,
      relativeProcessingTime: this.processingTimes.getRelativeTime(entry.id),
      isUnreachable: record.avoidedUntil > now || !this.reachability.isReachable(entry.id),
      isRemote: entry.dataCentre !== this.#mesh.self.dataCentre,
      warmUpMilliseconds: Math.max(0, entry.warmUpMilliseconds - knownFor),
    };
  }

  #getRecord(target: model.TargetId): TargetRecord {
    let record = this.#records.get(target);
    if (record === undefined) {
      record = {
        health: new placement.HealthEstimate(),
        ownLoad: 0,
        loadByVm: new Map(),
        othersLoad: 0,
        avoidedUntil: 0,
        fullUntil: 0,
      };
      this.#records.set(target, record);
    }
    return record;
  }

  #resetReplacedTarget(
    change: declarations.TargetChange,
    previous: declarations.TargetEntry | undefined,
  ): void {
    const isSameInstance = change.entry === undefined || previous === undefined ||
      (change.entry.startedAt === previous.startedAt && change.entry.address === previous.address);
    const record = this.#records.get(change.id);
    if (!isSameInstance && record !== undefined) {
      record.health = new placement.HealthEstimate();
      record.avoidedUntil = 0;
      this.processingTimes.removeTarget(change.id);
      this.reachability.removeTarget(change.id);
      this.#pauses.removeTarget(change.id);
    }
  }

  #receiveOutcomes(from: model.VmId, payload: unknown): void {
    const now = kernel.getMonotonicMilliseconds() - PROPAGATION_DELAY_MILLISECONDS;
    for (const [target, reports] of listEntries(payload)) {
      const record = this.#getRecord(target as model.TargetId);
      const before = record.health.failureProbability;
      for (const report of Array.isArray(reports) ? reports as unknown[] : [reports]) {
        if (isOutcomeReport(report)) {
          const [outcome, count, startedAgo] = report;
          record.health.recordOutcome(outcome, now - startedAgo, count);
        } else {
          this.#logIgnored(from, report);
        }
      }
      this.#logChange(target, before, record.health.failureProbability, "told");
    }
  }

  /** Logs evidence of a VM that this one does not know, once for each VM. */
  #logIgnored(from: model.VmId, evidence: unknown): void {
    if (!this.#vmsWithIgnoredEvidence.has(from)) {
      this.#vmsWithIgnoredEvidence.add(from);
      this.#logger.write(kernel.LogMessages.peerEvidenceIgnored, {
        vm: from,
        evidence: (JSON.stringify(evidence) ?? "").slice(0, MAX_LOGGED_CHARACTERS),
      });
    }
  }

  #collectLoads(): LoadPayload | undefined {
    const now = kernel.getMonotonicMilliseconds();
    if (this.#unreportedLoads.size === 0) {
      return undefined;
    }
    const isFull = now - this.#fullLoadsAt >= FULL_LOADS_INTERVAL_MILLISECONDS;
    const loads: Record<string, number> = {};
    if (isFull) {
      this.#fullLoadsAt = now;
      for (const [target, record] of this.#records) {
        if (record.ownLoad > 0) {
          loads[target] = record.ownLoad;
        }
      }
    } else {
      for (const target of this.#unreportedLoads) {
        loads[target] = this.#getRecord(target).ownLoad;
      }
    }
    this.#unreportedLoads.clear();
    return [isFull, loads];
  }

  #receiveLoads(vm: model.VmId, payload: unknown): void {
    const [isFull, loads] = payload as LoadPayload;
    if (isFull) {
      for (const record of this.#records.values()) {
        setLoad(record, vm, 0);
      }
    }
    for (const [target, load] of Object.entries(loads)) {
      setLoad(this.#getRecord(target as model.TargetId), vm, load);
    }
  }

  #logChange(target: string, before: number, after: number, cause: string): void {
    const wasSuspected = before > 0.5;
    const isSuspected = after > 0.5;
    if (wasSuspected !== isSuspected) {
      const { targetSuspected, targetRecovered } = kernel.LogMessages;
      this.#logger.write(isSuspected ? targetSuspected : targetRecovered, {
        target,
        sicknessBefore: Number(before.toFixed(3)),
        sickness: Number(after.toFixed(3)),
        cause,
      });
    }
  }
}

/** Takes the outcomes that are to be reported; undefined if there are none. */
function collectOutcomes(tables: OutcomeTables): unknown {
  if (tables.size === 0) {
    return undefined;
  }
  const now = kernel.getMonotonicMilliseconds();
  const reports: Record<string, OutcomeReport[]> = {};
  for (const [target, table] of tables) {
    reports[target] = [...table].map(([outcome, { count, startedAt }]) => [
      outcome,
      count,
      Math.round(now - startedAt),
    ]);
  }
  tables.clear();
  return reports;
}

function listEntries(payload: unknown): [string, unknown][] {
  return typeof payload === "object" && payload !== null ? Object.entries(payload) : [];
}

/** Whether a report is one of this version; later versions may append elements to it. */
function isOutcomeReport(report: unknown): report is OutcomeReport {
  if (!Array.isArray(report)) {
    return false;
  }
  const [outcome, count, startedAgo] = report as unknown[];
  return placement.isOutcome(outcome) && Number.isInteger(count) && Number(count) > 0 &&
    Number.isFinite(startedAgo) && Number(startedAgo) >= 0;
}

function setLoad(record: TargetRecord, vm: model.VmId, load: number): void {
  record.othersLoad += load - (record.loadByVm.get(vm) ?? 0);
  if (load === 0) {
    record.loadByVm.delete(vm);
  } else {
    record.loadByVm.set(vm, load);
  }
}
