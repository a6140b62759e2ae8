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

/**
 * Interval at which the largest known size of the fleet is reported, for VMs that have started since
 * then. It is short compared with the time that a VM takes to get the first part of a rate.
 */
const FLEET_SIZE_INTERVAL_MILLISECONDS = 500;

/** Largest size of a fleet that another VM is believed. */
const MAX_FLEET_SIZE = 10_000;

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

/** The rate that binds all VMs' requests to one target at present. */
interface TargetLimit {
  readonly requestsPerSecond: number;
  /** Time until the target is warm and no limit remains; infinity if it has stated a rate. */
  readonly endsInMilliseconds: number;
  readonly isCold: boolean;
}

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

/** Why a target of a service gets no request now. */
export interface TargetExclusion {
  readonly id: model.TargetId;
  readonly reason: "leaving" | "evacuated" | "outside_homes" | "tried" | "paused" | "limited";
  /** Time until it gets requests, in milliseconds; undefined if that is not foreseeable. */
  readonly milliseconds: number | undefined;
}

/** Ages of the latest load reports of other VMs, in milliseconds. */
export interface LoadReportAges {
  readonly vms: number;
  readonly newest: number | undefined;
  readonly oldest: number | undefined;
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
  /** Monotonic times of the latest load reports of other VMs, in milliseconds. */
  readonly #loadsReceivedAt = new Map<model.VmId, number>();
  readonly processingTimes = new placement.ProcessingTimes();
  readonly reachability: reach.Reachability;
  readonly #pauses = new placement.TargetPauses();
  readonly #rates: placement.TargetRates;
  readonly #evacuations: declarations.Evacuations;
  readonly #homePolicy: placement.HomePolicy;
  readonly #fleet = new placement.FleetMemory();
  #fleetSizeAt = Number.NEGATIVE_INFINITY;
  readonly #getPresentShare: () => number;
  readonly #isCutOff: () => boolean;
  readonly #getColdRate: (service: model.ServiceId) => number | undefined;
  readonly #coldCounter: kernel.Counter<never>;

  /**
   * @param getPresentShare Share of the VMs known within the recent past that are in contact, from 0
   * to 1.
   * @param getColdRate Requests per second that a cold target of a service can handle from all VMs
   * together; undefined for no limit.
   * @param isCutOff Whether this VM knows no other one although there should be some.
   */
  constructor(
    directory: declarations.TargetDirectory,
    evacuations: declarations.Evacuations,
    homePolicy: placement.HomePolicy,
    vmMesh: mesh.Mesh,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
    getPresentShare: () => number,
    sourceAddress: string,
    getColdRate: (service: model.ServiceId) => number | undefined,
    isCutOff: () => boolean = () => false,
  ) {
    this.#isCutOff = isCutOff;
    this.#getPresentShare = getPresentShare;
    this.#getColdRate = getColdRate;
    this.#directory = directory;
    this.#evacuations = evacuations;
    this.#homePolicy = homePolicy;
    this.#mesh = vmMesh;
    this.#logger = logger;
    this.#pauseCounter = metrics.createCounter(
      "hemlockwalk_target_pauses_total",
      "Pauses requested by targets, by result.",
      ["result"],
    );
    this.#coldCounter = metrics.createCounter(
      "hemlockwalk_targets_cold_total",
      "Warm-ups of targets of services that declare a rate for cold targets.",
    );
    this.#openCallCounter = metrics.createCounter(
      "hemlockwalk_overdue_calls_total",
      "Calls that were overdue while they still ran, and those that succeeded late.",
      ["result"],
    );
    this.#rates = new placement.TargetRates(vmMesh.self.vm, () => this.#recordFleet());
    this.reachability = new reach.Reachability(
      (target) => directory.find(target)?.address,
      logger,
      sourceAddress,
    );
    directory.onChange((change, previous) => {
      this.#resetReplacedTarget(change, previous);
      this.#recordWarmUp(change, previous);
    });
    vmMesh.addSection("outcomes", {
      collect: () => collectOutcomes(this.#unreportedOutcomes),
      receive: (from, payload) => this.#receiveOutcomes(from.vm, payload),
    });
    vmMesh.addSection("open_calls", {
      collect: () => collectOutcomes(this.#unreportedOpenCalls),
      receive: (from, payload) => this.#receiveOutcomes(from.vm, payload),
    });
    vmMesh.addSection("fleet-size", {
      collect: () => this.#collectFleetSize(),
      receive: (_from, payload) => this.#receiveFleetSize(payload),
    });
    vmMesh.addSection("loads", {
      collect: () => this.#collectLoads(),
      receive: (from, payload) => this.#receiveLoads(from.vm, payload),
    });
  }

  /** Lists the candidates of a service for a request with homes, without the excluded targets. */
  listCandidates(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
    homes: placement.Homes,
  ): placement.Candidate[] {
    const now = kernel.getMonotonicMilliseconds();
    const coldRate = this.#getColdRate(service);
    const candidates: placement.Candidate[] = [];
    // One pass that reads the clock, the cold rate and each target's warm-up once: this is done for
    // each request and each target of its service.
    for (const entry of this.#directory.listServing(service)) {
      if (excluded.has(entry.id) || !this.#isUsable(entry, homes)) {
        continue;
      }
      const warmUpLeft = this.#directory.getWarmUpLeft(entry.id, now);
      if (this.#getSchedule(entry, warmUpLeft, coldRate).milliseconds === 0) {
        candidates.push(this.#createCandidate(entry, now, warmUpLeft, coldRate));
      }
    }
    return candidates;
  }

  /**
   * Finds the first target of a service that will accept requests from this VM, among those that
   * accept none now; undefined if there are none but the excluded ones.
   *
   * @param ahead Requests that wait for these targets already.
   */
  findShortestWait(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
    homes: placement.Homes,
    ahead = 0,
  ): placement.TargetWait | undefined {
    const coldRate = this.#getColdRate(service);
    const schedules = this.#listUsable(service, homes)
      .filter(({ id }) => !excluded.has(id))
      .map((entry) => this.#getSchedule(entry, this.#directory.getWarmUpLeft(entry.id), coldRate))
      .filter(({ milliseconds }) => milliseconds > 0);
    return placement.findWait(schedules, ahead);
  }

  /**
   * Why no target of a service may be used at all; undefined if one may, or if there is none.
   */
  findExclusion(
    service: model.ServiceId,
    homes: placement.Homes,
  ): "evacuated" | "outside_homes" | undefined {
    const serving = this.#directory.listServing(service);
    if (serving.length === 0 || this.#listUsable(service, homes).length > 0) {
      return undefined;
    }
    const isInHomes = serving.some(({ dataCentre }) =>
      this.#homePolicy.allowsTarget(homes, dataCentre)
    );
    return isInHomes ? "evacuated" : "outside_homes";
  }

  /** Lists the targets of a service that `listCandidates` leaves out, with the reason. */
  listExclusions(
    service: model.ServiceId,
    excluded: ReadonlySet<model.TargetId>,
    homes: placement.Homes,
  ): TargetExclusion[] {
    const now = kernel.getMonotonicMilliseconds();
    const coldRate = this.#getColdRate(service);
    const usable = new Set(this.#listUsable(service, homes));
    const serving = this.#directory.listServing(service).map(
      (entry): TargetExclusion | undefined => {
        const { id, dataCentre } = entry;
        if (!usable.has(entry)) {
          const reason = this.#evacuations.isEvacuated(dataCentre) ? "evacuated" : "outside_homes";
          return { id, reason, milliseconds: undefined };
        }
        if (excluded.has(id)) {
          return { id, reason: "tried", milliseconds: undefined };
        }
        const warmUpLeft = this.#directory.getWarmUpLeft(id, now);
        const { milliseconds, isPause } = this.#getSchedule(entry, warmUpLeft, coldRate);
        return milliseconds === 0 ? undefined : {
          id,
          reason: isPause ? "paused" : "limited",
          milliseconds: Number.isFinite(milliseconds) ? milliseconds : undefined,
        };
      },
    );
    const leaving = this.#directory.listLeaving(service).map(({ id }): TargetExclusion => ({
      id,
      reason: "leaving",
      milliseconds: undefined,
    }));
    return [...serving.filter((exclusion) => exclusion !== undefined), ...leaving];
  }

  /** Ages of the loads that other VMs have reported. A VM without changes reports none. */
  getLoadReportAges(): LoadReportAges {
    const now = kernel.getMonotonicMilliseconds();
    const ages = [...this.#loadsReceivedAt.values()].map((at) => now - at);
    return {
      vms: ages.length,
      newest: ages.length === 0 ? undefined : Math.min(...ages),
      oldest: ages.length === 0 ? undefined : Math.max(...ages),
    };
  }

  /** Targets of a service outside evacuated data centres and within the homes of a request. */
  #listUsable(
    service: model.ServiceId,
    homes: placement.Homes,
  ): readonly declarations.TargetEntry[] {
    return this.#directory.listServing(service).filter((entry) => this.#isUsable(entry, homes));
  }

  #isUsable({ dataCentre }: declarations.TargetEntry, homes: placement.Homes): boolean {
    return !this.#evacuations.isEvacuated(dataCentre) &&
      this.#homePolicy.allowsTarget(homes, dataCentre);
  }

  /**
   * Takes this VM's part of a limited target's rate for a request that is sent to it; undefined if
   * its rate is not limited.
   */
  takeRate(target: model.TargetId): placement.RateToken | undefined {
    return this.#rates.take(target);
  }

  /** Returns the part of a rate that was taken for a request that did not reach its target. */
  returnRate(target: model.TargetId, token: placement.RateToken | undefined): void {
    if (token !== undefined) {
      this.#rates.returnToken(target, token);
    }
  }

  /**
   * When a target accepts requests from this VM; after infinity if that is not foreseeable.
   *
   * @param warmUpLeft Time until the target is warm, in milliseconds.
   * @param coldRate Rate of the service's cold targets.
   */
  #getSchedule(
    entry: declarations.TargetEntry,
    warmUpLeft: number,
    coldRate: number | undefined,
  ): placement.TargetSchedule {
    const pause = this.#pauses.getRemaining(entry.id);
    const isPause = pause > 0;
    const limit = this.#findLimit(entry, warmUpLeft, coldRate);
    if (limit === undefined) {
      this.#rates.removeTarget(entry.id);
      return {
        milliseconds: pause,
        isPause,
        requestsPerSecond: 0,
        unlimitedAfterMilliseconds: pause,
      };
    }
    const { requestsPerSecond, endsInMilliseconds, isCold } = limit;
    const wait = this.#rates.getWait(entry.id, entry.dataCentre, requestsPerSecond, isCold);
    return {
      milliseconds: Math.max(pause, Math.min(wait, endsInMilliseconds)),
      isPause,
      requestsPerSecond: this.#rates.getOwnRate(entry.id),
      unlimitedAfterMilliseconds: Math.max(pause, endsInMilliseconds),
    };
  }

  /** The lower of the rate that a target has stated and, while it is cold, that of its service. */
  #findLimit(
    entry: declarations.TargetEntry,
    warmUpLeft: number,
    coldRate: number | undefined,
  ): TargetLimit | undefined {
    const stated = this.#directory.findRate(entry.id);
    const cold = warmUpLeft > 0 ? coldRate : undefined;
    if (stated === undefined && cold === undefined) {
      return undefined;
    }
    return {
      requestsPerSecond: Math.min(
        stated ?? Number.POSITIVE_INFINITY,
        cold ?? Number.POSITIVE_INFINITY,
      ),
      endsInMilliseconds: stated === undefined ? warmUpLeft : Number.POSITIVE_INFINITY,
      isCold: cold !== undefined,
    };
  }

  #isLimited(entry: declarations.TargetEntry): boolean {
    const warmUpLeft = this.#directory.getWarmUpLeft(entry.id);
    return this.#findLimit(entry, warmUpLeft, this.#getColdRate(entry.service)) !== undefined;
  }

  #recordFleet(): placement.RateFleet {
    const members = [this.#mesh.self, ...this.#mesh.listOthers()];
    return this.#fleet.record(members, this.#getPresentShare(), this.#isCutOff());
  }

  /**
   * Whether an incarnation of a target still accepts a request from this VM. A request that was
   * placed before the rate of the target was limited has no part of it.
   *
   * @param token What was taken for the request.
   */
  accepts(
    target: declarations.TargetEntry,
    token: placement.RateToken | undefined,
  ): boolean {
    const known = this.#directory.find(target.id);
    return known !== undefined && !known.isDraining && known.startedAt === target.startedAt &&
      !this.#evacuations.isEvacuated(known.dataCentre) &&
      this.#pauses.getRemaining(target.id) === 0 &&
      (!this.#isLimited(known) || this.#rates.isValid(target.id, token));
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

  /** Probability, from 0 to 1, that a target is failing now. */
  getFailureProbability(target: model.TargetId): number {
    return this.#getRecord(target).health.failureProbability;
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
    this.#recordFleet();
    const present = new Set(this.#mesh.listOthers().map((member) => member.vm));
    for (const vm of this.#vmsWithIgnoredEvidence) {
      if (!present.has(vm)) {
        this.#vmsWithIgnoredEvidence.delete(vm);
      }
    }
    for (const vm of this.#loadsReceivedAt.keys()) {
      if (!present.has(vm)) {
        this.#loadsReceivedAt.delete(vm);
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

  #createCandidate(
    entry: declarations.TargetEntry,
    now: number,
    warmUpLeft: number,
    coldRate: number | undefined,
  ): placement.Candidate {
    const record = this.#getRecord(entry.id);
    const isFull = record.fullUntil > now;
    const load = record.ownLoad + record.othersLoad;
    return {
      id: entry.id,
      slots: entry.slots,
      load: isFull ? Math.max(load, entry.slots) : load,
      failureProbability: record.health.getFailureProbabilityAt(now),
      sinceLastOutcomeMilliseconds: now - record.health.lastOutcomeAt,
      evidenceAgeMilliseconds: now - record.health.evidenceAt,
      relativeProcessingTime: this.processingTimes.getRelativeTime(entry.id),
      isUnreachable: record.avoidedUntil > now || !this.reachability.isReachable(entry.id),
      isRemote: entry.dataCentre !== this.#mesh.self.dataCentre,
      warmUpMilliseconds: Math.max(
        warmUpLeft,
        // Load returns gradually to a data centre that was evacuated.
        this.#evacuations.getReturnMilliseconds(entry.dataCentre),
      ),
      isColdRateLimited: coldRate !== undefined,
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

  #recordWarmUp(
    { entry }: declarations.TargetChange,
    previous: declarations.TargetEntry | undefined,
  ): void {
    const rate = entry === undefined ? undefined : this.#getColdRate(entry.service);
    if (entry === undefined || rate === undefined || entry.warmUpMilliseconds === 0) {
      return;
    }
    const isRenewed = previous !== undefined && previous.warmUpMilliseconds > 0 &&
      previous.startedAt === entry.startedAt;
    if (!isRenewed) {
      this.#coldCounter.inc();
      this.#logger.write(kernel.LogMessages.targetCold, {
        target: entry.id,
        milliseconds: Math.round(this.#directory.getWarmUpLeft(entry.id)),
        requestsPerSecond: rate,
      });
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

  #collectFleetSize(): placement.RememberedSize | undefined {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#fleetSizeAt < FLEET_SIZE_INTERVAL_MILLISECONDS) {
      return undefined;
    }
    this.#fleetSizeAt = now;
    // Without a service that limits cold targets, nobody needs it.
    const services = new Set(this.#directory.listAllServing().map(({ service }) => service));
    if (![...services].some((service) => this.#getColdRate(service) !== undefined)) {
      return undefined;
    }
    this.#recordFleet();
    return this.#fleet.largest;
  }

  #receiveFleetSize(payload: unknown): void {
    const values: readonly unknown[] = Array.isArray(payload) ? payload : [];
    const [size, agoMilliseconds] = values;
    const isValid = Number.isInteger(size) && Number(size) >= 1 &&
      Number(size) <= MAX_FLEET_SIZE && Number.isFinite(agoMilliseconds) &&
      Number(agoMilliseconds) >= 0;
    if (isValid) {
      this.#fleet.adopt([Number(size), Number(agoMilliseconds)]);
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
    this.#loadsReceivedAt.set(vm, kernel.getMonotonicMilliseconds());
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
