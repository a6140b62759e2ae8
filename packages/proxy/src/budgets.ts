/**
 * Budgets that all VMs share: the rate of each workspace and the retries of each service.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fleetRetries from "./fleet_retries.ts";
import type * as types from "./types.ts";

const REFILL_INTERVAL_MILLISECONDS = 100;

/** Delay of a refill from which the VM is taken to have stood still. */
const STANDSTILL_MILLISECONDS = 400;

/**
 * Longest wait of a request for the confirmation of tokens that were taken earlier; a report and its
 * confirmation take two relay delays.
 */
const MAX_CONFIRMATION_WAIT_MILLISECONDS = 150;
const CONFIRMATION_POLL_MILLISECONDS = 10;

/**
 * Share of the tolerated excess that is used; the rest covers requests admitted by other VMs that
 * are not yet reported.
 */
const SHARE_OF_RATE_EXCESS = 0.4;

/** VMs that were known within this time still keep their share of target rates. */
const EXPECTED_FOR_MILLISECONDS = 20_000;

/**
 * A VM adopts levels only in this time after its start, and only from VMs that have run at least
 * this long.
 */
const LEVEL_ADOPTION_MILLISECONDS = 3_000;

/** A VM that has run for longer when its first report arrives was out of contact before. */
const CONTACT_LOSS_MILLISECONDS = 2_000;

/** Fleet size that a newly started VM assumes until it is linked. */
const ASSUMED_FLEET_SIZE = 50;

/** After this time without a link, a VM assumes that it is alone. */
const ALONE_AFTER_MILLISECONDS = 2_000;

/** Levels of all buckets, sent to a VM that has just started. */
interface LevelTables {
  /** Time since the start of the VM that sends them, in milliseconds. */
  readonly age: number;
  readonly rates: Record<string, number>;
  /** Always empty. Earlier versions of the program read levels of the budgets of retries here. */
  readonly retries: Record<string, never>;
  /**
   * VMs of the data centres that are out of contact with the VM that sends them. Earlier versions of
   * the program do not send it.
   */
  readonly unreachable?: readonly placement.MissingVm[];
}

/** Counters of the rates as sent to other VMs. */
interface BucketReport {
  /** Time since the start of the VM that sends them, in milliseconds. */
  readonly age: number;
  /** Tokens taken and requested, and requested by class of priority if known. */
  readonly counters: Readonly<
    Record<string, readonly [taken: number, requested: number, ...requestedByClass: number[]]>
  >;
}

/** What a request would get of its workspace's rate. */
export interface RatePreview {
  readonly isAdmitted: boolean;
  /** Whether it would first wait for reports of the other VMs after a standstill. */
  readonly waitsForReports: boolean;
  /** Whether it would first wait for the confirmation of earlier tokens. */
  readonly waitsForConfirmation: boolean;
  /** Tokens left, as far as this VM knows. */
  readonly level: number;
  /** What would refuse it; undefined if it is admitted. */
  readonly bound: placement.RateBound | undefined;
  /** Retry-After of its refusal, in seconds. */
  readonly retryAfterSeconds: number | undefined;
}

type RateCounter = ReturnType<
  typeof kernel.Metrics.prototype.createCounter<"outcome" | "priority">
>;

/** One VM's view of the fleet's budgets. */
export class Budgets implements kernel.Service {
  readonly #mesh: mesh.Mesh;
  readonly #store: declarations.DeclarationStore;
  readonly #bounds: types.ProxyBounds;
  readonly #isFirstStart: boolean;
  readonly #logger: kernel.ComponentLogger;
  readonly #rates = new Map<string, placement.SharedBucket>();
  readonly #retries: fleetRetries.FleetRetries;
  readonly #returnTimes = new Map<string, placement.ReturnTimes>();
  readonly #rateCounter: RateCounter | undefined;
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  /** The VMs that keep a share of the rates, which is not forgotten while they may be running. */
  readonly #fleet: placement.ExpectedFleet;
  /** Largest sizes of the fleet within the recent past. */
  #sizes: { at: number; size: number }[] = [];
  #refilledAt = kernel.getMonotonicMilliseconds();
  #catchesUpUntil = Number.NEGATIVE_INFINITY;
  #stoodStillUntil = Number.NEGATIVE_INFINITY;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    vmMesh: mesh.Mesh,
    store: declarations.DeclarationStore,
    bounds: types.ProxyBounds,
    isFirstStart: boolean,
    logger: kernel.ComponentLogger,
    metrics?: kernel.Metrics,
  ) {
    this.#rateCounter = metrics?.createCounter(
      "hemlockwalk_rate_requests_total",
      "Requests of workspaces with a rate, by outcome and priority (3: 3 or more).",
      ["outcome", "priority"],
    );
    this.#logger = logger;
    this.#mesh = vmMesh;
    this.#fleet = new placement.ExpectedFleet(vmMesh.self);
    this.#store = store;
    this.#bounds = bounds;
    this.#isFirstStart = isFirstStart;
    vmMesh.addSection("rates", {
      collect: (sequence) => this.#collectBuckets(this.#rates, sequence),
      receive: (from, payload) =>
        this.#receiveBuckets(from, payload, (workspace) => this.#getRateBucket(workspace)),
    });
    this.#retries = new fleetRetries.FleetRetries(
      vmMesh,
      bounds,
      () => this.#countExpectedVms(),
      // Before anything that is dated: a standstill may not have been noticed yet.
      () => void this.isCatchingUp,
      isFirstStart,
      metrics,
    );
    vmMesh.addReplicatedState("levels", {
      createSnapshot: () => this.#createLevels(),
      receive: (payload) => this.#adoptLevels(payload as LevelTables),
    });
    store.onVersion((view) => this.#updateRateLimits(view));
  }

  start(): void {
    this.#refilledAt = kernel.getMonotonicMilliseconds();
    this.#timer = setInterval(() => this.#refill(), REFILL_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Whether this VM has stood still and may not have received what the others took meanwhile. Input
   * that arrived during a standstill is handled in any order, so a caller's request may come before
   * the reports of other VMs.
   */
  get isCatchingUp(): boolean {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#refilledAt > REFILL_INTERVAL_MILLISECONDS + STANDSTILL_MILLISECONDS) {
      this.#refill();
    }
    return now < this.#catchesUpUntil;
  }

  /** Whether this VM has stood still after a monotonic time, in milliseconds. */
  hasStoodStillSince(time: number): boolean {
    return this.isCatchingUp || this.#stoodStillUntil >= time;
  }

  /** Waits until the reports of other VMs have arrived after a standstill. */
  async #waitForReports(): Promise<void> {
    while (this.isCatchingUp) {
      await kernel.sleep(this.#catchesUpUntil - kernel.getMonotonicMilliseconds());
    }
  }

  /**
   * Takes a token from a workspace's rate limit; always succeeds for a workspace without a limit.
   * Waits for a short time if the other VMs must first be heard.
   *
   * @param priority Priority of the route, which orders the requests of one workspace.
   */
  takeRate(
    workspace: declarations.DeclaredWorkspace,
    priority = 0,
  ): boolean | Promise<boolean> {
    const bucket = workspace.ratePerSecond === undefined
      ? undefined
      : this.#getRateBucket(workspace.id);
    if (bucket === undefined) {
      return true;
    }
    if (this.isCatchingUp) {
      return this.#waitForReports().then(() => this.takeRate(workspace, priority));
    }
    const result = this.#takeFrom(bucket, false, priority);
    return result === "unconfirmed"
      ? this.#takeOnceConfirmed(bucket, priority)
      : this.#countRate(result, priority);
  }

  /**
   * Returns the time after which a refused request should return, in seconds.
   *
   * @param timeLeft Time that the caller has left, in milliseconds.
   */
  takeReturnSeconds(
    workspace: declarations.DeclaredWorkspace,
    priority: number,
    timeLeft: number,
  ): number {
    const times = this.#returnTimes.get(workspace.id) ?? new placement.ReturnTimes();
    this.#returnTimes.set(workspace.id, times);
    const milliseconds = times.take(
      placement.getPriorityClass(priority),
      this.#rates.get(workspace.id)?.getExpectedRate(priority) ?? 0,
      kernel.getMonotonicMilliseconds(),
      timeLeft,
    );
    return Math.round(milliseconds) / 1_000;
  }

  /**
   * What a request would get of a workspace's rate now, decided on a copy of the bucket; undefined
   * for a workspace without a limit.
   *
   * @param timeLeft Time that the caller has left, in milliseconds.
   */
  previewRate(
    workspace: declarations.DeclaredWorkspace,
    priority: number,
    timeLeft: number,
  ): RatePreview | undefined {
    if (workspace.ratePerSecond === undefined) {
      return undefined;
    }
    const bucket = (this.#rates.get(workspace.id) ?? this.#createRateBucket(workspace)).copy();
    const { level } = bucket;
    bucket.confirm(this.#mesh.confirmedSequence);
    const result = bucket.tryTake(false, priority);
    const isAdmitted = (result === "unconfirmed" ? bucket.tryTake(true, priority) : result) ===
      "taken";
    const now = kernel.getMonotonicMilliseconds();
    const shared = {
      isAdmitted,
      waitsForReports: now < this.#catchesUpUntil,
      waitsForConfirmation: result === "unconfirmed",
      level,
    };
    if (isAdmitted) {
      return { ...shared, bound: undefined, retryAfterSeconds: undefined };
    }
    const times = this.#returnTimes.get(workspace.id) ?? new placement.ReturnTimes();
    const expectedRate = bucket.getExpectedRate(priority);
    const { delay } = times.peek(placement.getPriorityClass(priority), expectedRate, now, timeLeft);
    return { ...shared, bound: bucket.bound, retryAfterSeconds: Math.round(delay) / 1_000 };
  }

  #countRate(result: placement.TakeResult, priority: number): boolean {
    this.#rateCounter?.inc({
      outcome: result === "taken" ? "admitted" : "refused",
      priority: String(placement.getPriorityClass(priority)),
    });
    return result === "taken";
  }

  /** Takes a token once the others have confirmed earlier ones, or decides without that. */
  async #takeOnceConfirmed(bucket: placement.SharedBucket, priority: number): Promise<boolean> {
    const endsAt = kernel.getMonotonicMilliseconds() + MAX_CONFIRMATION_WAIT_MILLISECONDS;
    let result: placement.TakeResult;
    do {
      await kernel.sleep(CONFIRMATION_POLL_MILLISECONDS);
      result = this.#takeFrom(bucket, kernel.getMonotonicMilliseconds() >= endsAt, priority);
    } while (result === "unconfirmed");
    return this.#countRate(result, priority);
  }

  /** Describes the rate limit as it applied to a workspace's latest request, for the log. */
  describeRate(workspace: declarations.DeclaredWorkspace) {
    const bucket = this.#rates.get(workspace.id);
    return {
      workspace: workspace.id,
      rate: workspace.ratePerSecond,
      burst: workspace.burst,
      level: bucket === undefined ? undefined : roundToTenth(bucket.level),
      share: bucket === undefined ? undefined : roundToTenth(bucket.shareLevel),
      vms: this.#mesh.size,
      bound: bucket?.bound,
    };
  }

  /** Returns the token of a request that was not run after all. */
  returnRate(workspace: model.WorkspaceId): void {
    this.#rates.get(workspace)?.returnToken();
  }

  /** Counts a caller's request, which adds to the service's retry budget. */
  countRequest(service: model.ServiceId): void {
    this.#retries.countRequest(service);
  }

  /** Takes a retry from a service's budget; never right after this VM has stood still. */
  takeRetry(service: model.ServiceId): boolean {
    return !this.isCatchingUp && this.#retries.take(service);
  }

  /** The same, with a moment's wait for a retry that other VMs have left. */
  takeRetryOrWait(service: model.ServiceId): boolean | Promise<boolean> {
    return !this.isCatchingUp && this.#retries.takeOrWait(service);
  }

  /** Share of the VMs known within the recent past that are in contact, from 0 to 1. */
  get presentShare(): number {
    const { present, expected } = this.#getPresence();
    return present / Math.max(expected, 1);
  }

  /** Share of a service's retry budget that is left, from 0 to 1. */
  getRetryLevel(service: model.ServiceId): number {
    return this.#retries.getLevel(service);
  }

  /** The same after one more request of the service was counted. */
  previewRetryLevel(service: model.ServiceId): number {
    return this.#retries.previewLevel(service);
  }

  #takeFrom(
    bucket: placement.SharedBucket,
    isFinal: boolean,
    priority = 0,
  ): placement.TakeResult {
    bucket.confirm(this.#mesh.confirmedSequence);
    const result = bucket.tryTake(isFinal, priority);
    if (bucket.isUrgent) {
      this.#mesh.reportSoon();
    }
    return result;
  }

  #getLifetime(): number {
    return kernel.getMonotonicMilliseconds() - this.#startedAt;
  }

  #createLevels(): LevelTables {
    const rates = [...this.#rates].map(([name, bucket]) => [name, bucket.level] as const);
    return {
      // What the others took while this VM stood still is not in its levels yet.
      age: this.isCatchingUp ? 0 : this.#getLifetime(),
      rates: Object.fromEntries(rates),
      retries: {},
      unreachable: this.#fleet.listUnreachable(),
    };
  }

  /**
   * Adopts the levels of another VM. They are meant only for the VM that they were sent to, so this
   * returns false: they are not forwarded.
   */
  #adoptLevels(levels: LevelTables): boolean {
    if (this.#getLifetime() < LEVEL_ADOPTION_MILLISECONDS) {
      this.#fleet.adopt(levels.unreachable ?? []);
    }
    const isUseful = levels.age >= LEVEL_ADOPTION_MILLISECONDS &&
      this.#getLifetime() < LEVEL_ADOPTION_MILLISECONDS;
    if (isUseful) {
      for (const [workspace, level] of Object.entries(levels.rates)) {
        this.#getRateBucket(workspace)?.adoptLevel(level);
      }
    }
    return false;
  }

  #getRateBucket(workspace: string): placement.SharedBucket | undefined {
    let bucket = this.#rates.get(workspace);
    const declared = this.#store.current?.getWorkspaceById(workspace as model.WorkspaceId);
    if (bucket === undefined && declared?.ratePerSecond !== undefined) {
      bucket = this.#createRateBucket(declared);
      this.#rates.set(workspace, bucket);
    }
    return bucket;
  }

  #createRateBucket(declared: declarations.DeclaredWorkspace): placement.SharedBucket {
    // The admissions before a restart are unknown, so a VM that replaces another starts without
    // tokens.
    const accrued = (declared.ratePerSecond ?? 0) * this.#getLifetime() / 1_000;
    const bucket = new placement.SharedBucket(
      declared.burst,
      this.#isFirstStart ? declared.burst : accrued,
      SHARE_OF_RATE_EXCESS * this.#getRateExcess(declared),
      new placement.RatePressure({
        excess: this.#getRateExcess(declared),
        // When a fleet starts, nothing has been requested before.
        observedSince: this.#isFirstStart ? Number.NEGATIVE_INFINITY : this.#startedAt,
      }),
    );
    // The size of the fleet limits what is taken before the first refill.
    bucket.refill(0, this.#getRatePresence());
    return bucket;
  }

  #getRateExcess(workspace: declarations.DeclaredWorkspace): number {
    const { rateWindowSeconds, rateExcess, rateSlack } = this.#bounds;
    const perWindow = (workspace.ratePerSecond ?? 0) * rateWindowSeconds + workspace.burst;
    return perWindow * rateExcess + rateSlack;
  }

  #updateRateLimits(view: declarations.DeclarationView): void {
    for (const workspace of view.declarations.workspaces) {
      if (workspace.ratePerSecond === undefined) {
        this.#rates.delete(workspace.id);
        this.#returnTimes.delete(workspace.id);
      } else {
        const excess = this.#getRateExcess(workspace);
        const allowance = SHARE_OF_RATE_EXCESS * excess;
        this.#rates.get(workspace.id)?.setLimits(workspace.burst, allowance, excess);
      }
    }
  }

  #refill(): void {
    const now = kernel.getMonotonicMilliseconds();
    const elapsed = now - this.#refilledAt;
    const seconds = elapsed / 1_000;
    if (elapsed > REFILL_INTERVAL_MILLISECONDS + STANDSTILL_MILLISECONDS) {
      this.#stoodStillUntil = now;
      this.#catchesUpUntil = now + this.#mesh.propagationMilliseconds;
      this.#retries.clear();
      this.#logger.write(kernel.LogMessages.standstill, { milliseconds: Math.round(elapsed) });
    }
    this.#refilledAt = now;
    this.#recordSize(now);
    this.#fleet.record(
      this.#mesh.listOthers(),
      this.#mesh.listInContact(),
      (identity) => this.#mesh.hasLeft(identity),
    );
    const presence = this.#getRatePresence();
    for (const [workspace, bucket] of this.#rates) {
      const declared = this.#store.current?.getWorkspaceById(workspace as model.WorkspaceId);
      bucket.refill((declared?.ratePerSecond ?? 0) * seconds, presence);
    }
    this.#retries.advance();
  }

  #recordSize(now: number): void {
    const size = this.#mesh.size;
    this.#sizes = this.#sizes.filter((sample) =>
      sample.at > now - EXPECTED_FOR_MILLISECONDS && sample.size > size
    );
    this.#sizes.push({ at: now, size });
  }

  #getPresence(): placement.FleetPresence {
    const present = this.#mesh.countInContact();
    const expected = this.#sizes.reduce(
      (most, sample) => Math.max(most, sample.size),
      this.#mesh.size,
    );
    return {
      present,
      expected: this.#isSizeUnknown ? ASSUMED_FLEET_SIZE : expected,
      propagationMilliseconds: this.#mesh.propagationMilliseconds,
    };
  }

  /** Size of the fleet among which the rates are divided. */
  #getRatePresence(): placement.FleetPresence {
    const presence = this.#getPresence();
    if (this.#isSizeUnknown) {
      return presence;
    }
    const expected = Math.max(this.#mesh.size, this.#fleet.size);
    return { ...presence, expected };
  }

  /** Size of the fleet with VMs out of contact; undefined before the first contact with another. */
  #countExpectedVms(): number | undefined {
    const known = Math.max(this.#mesh.size, this.#fleet.size);
    return known === 1 && this.#mesh.hasOtherSeeds ? undefined : known;
  }

  get #isSizeUnknown(): boolean {
    return this.#mesh.size === 1 && this.#getLifetime() < ALONE_AFTER_MILLISECONDS;
  }

  #receiveBuckets(
    from: mesh.MemberIdentity,
    payload: unknown,
    find: (name: string) => placement.SharedBucket | undefined,
  ): void {
    const { age, counters } = payload as BucketReport;
    const trackedShare = this.#getTrackedShare(age);
    const contactSince = this.#getContactSince(from, age);
    for (const [name, [taken, requested, ...byClass]] of Object.entries(counters)) {
      const received = byClass.length === 0
        ? { taken, requested }
        : { taken, requested, requestedByClass: byClass };
      find(name)?.receive(from.vm, from.incarnation, received, trackedShare, contactSince);
    }
  }

  /**
   * Monotonic time since which a VM whose report arrives has been in contact, in milliseconds;
   * negative infinity if it has been since its start.
   */
  #getContactSince(from: mesh.MemberIdentity, age: number): number {
    const contactSince = this.#fleet.hear(from);
    const startedAt = kernel.getMonotonicMilliseconds() - age;
    return contactSince - startedAt > CONTACT_LOSS_MILLISECONDS
      ? contactSince
      : Number.NEGATIVE_INFINITY;
  }

  /** Share of another VM's lifetime during which this VM has run too. */
  #getTrackedShare(age: number): number {
    return Math.min(1, this.#getLifetime() / Math.max(age, 1));
  }

  #collectBuckets(
    buckets: ReadonlyMap<string, placement.SharedBucket>,
    sequence: number,
  ): BucketReport | undefined {
    const counters: Record<string, readonly [number, number, ...number[]]> = {};
    for (const [name, bucket] of buckets) {
      const collected = bucket.collect(sequence);
      if (collected !== undefined) {
        const byClass = collected.requestedByClass ?? [];
        counters[name] = [collected.taken, collected.requested, ...byClass];
      }
    }
    return Object.keys(counters).length === 0
      ? undefined
      : { age: Math.round(this.#getLifetime()), counters };
  }
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
