/**
 * Budgets that all VMs share: the rate of each workspace and the retries of each service.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
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
 * Share of the retry slack that may be spent at once; the rest covers retries of other VMs that are
 * not yet reported.
 */
const SHARE_OF_RETRY_SLACK = 0.6;

/**
 * Share of the tolerated excess that is used; the rest covers requests admitted by other VMs that
 * are not yet reported.
 */
const SHARE_OF_RATE_EXCESS = 0.4;

/** VMs that were known within this time still keep their share of the retries and of target rates. */
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
  readonly retries: Record<string, number>;
  /**
   * VMs of the data centres that are out of contact with the VM that sends them. Earlier versions of
   * the program do not send it.
   */
  readonly unreachable?: readonly placement.MissingVm[];
}

/** Counters as sent to other VMs. */
interface CounterReport<T> {
  /** Time since the start of the VM that sends them, in milliseconds. */
  readonly age: number;
  readonly counters: Record<string, T>;
}

/** Tokens taken and requested, and requested by class of priority if known. */
type BucketReport = CounterReport<
  readonly [taken: number, requested: number, ...requestedByClass: number[]]
>;

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
  readonly #retries = new Map<string, placement.SharedBucket>();
  readonly #returnTimes = new Map<string, placement.ReturnTimes>();
  readonly #rateCounter: RateCounter | undefined;
  readonly #requests = new Map<string, number>();
  readonly #requestsReported = new Map<string, number>();
  readonly #requestsByVm = new Map<
    string,
    { incarnation: string; counts: Map<string, number> }
  >();
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
    vmMesh.addSection("retries", {
      collect: (sequence) => this.#collectBuckets(this.#retries, sequence),
      receive: (from, payload) =>
        this.#receiveBuckets(from, payload, (service) => this.#getRetryBucket(service)),
    });
    vmMesh.addSection("requests", {
      collect: () => this.#collectRequests(),
      receive: (from, payload) => this.#receiveRequests(from, payload),
    });
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
    this.#requests.set(service, (this.#requests.get(service) ?? 0) + 1);
    this.#addRetryTokens(service, 1);
  }

  /** Takes a retry from a service's budget; never while it is not known what the others took. */
  takeRetry(service: model.ServiceId): boolean {
    return !this.isCatchingUp && this.#takeFrom(this.#getRetryBucket(service), true) === "taken";
  }

  /** Share of the VMs known within the recent past that are in contact, from 0 to 1. */
  get presentShare(): number {
    const { present, expected } = this.#getPresence();
    return present / Math.max(expected, 1);
  }

  /** Share of a service's retry budget that is left, from 0 to 1. */
  getRetryLevel(service: model.ServiceId): number {
    return Math.max(0, this.#getRetryBucket(service).level / this.#getRetryBurst());
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
    const list = (buckets: ReadonlyMap<string, placement.SharedBucket>) =>
      Object.fromEntries([...buckets].map(([name, bucket]) => [name, bucket.level]));
    return {
      // What the others took while this VM stood still is not in its levels yet.
      age: this.isCatchingUp ? 0 : this.#getLifetime(),
      rates: list(this.#rates),
      retries: list(this.#retries),
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
      for (const [service, level] of Object.entries(levels.retries)) {
        this.#getRetryBucket(service).adoptLevel(level);
      }
    }
    return false;
  }

  #getRateBucket(workspace: string): placement.SharedBucket | undefined {
    let bucket = this.#rates.get(workspace);
    const declared = this.#store.current?.getWorkspaceById(workspace as model.WorkspaceId);
    if (bucket === undefined && declared?.ratePerSecond !== undefined) {
      // The admissions before a restart are unknown, so a VM that replaces another starts without
      // tokens.
      const accrued = declared.ratePerSecond * this.#getLifetime() / 1_000;
      bucket = new placement.SharedBucket(
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
      this.#rates.set(workspace, bucket);
    }
    return bucket;
  }

  #getRateExcess(workspace: declarations.DeclaredWorkspace): number {
    const { rateWindowSeconds, rateExcess, rateSlack } = this.#bounds;
    const perWindow = (workspace.ratePerSecond ?? 0) * rateWindowSeconds + workspace.burst;
    return perWindow * rateExcess + rateSlack;
  }

  #getRetryBurst(): number {
    return Math.max(1, this.#bounds.retrySlack * SHARE_OF_RETRY_SLACK);
  }

  #getRetryBucket(service: string): placement.SharedBucket {
    let bucket = this.#retries.get(service);
    if (bucket === undefined) {
      const burst = this.#getRetryBurst();
      bucket = new placement.SharedBucket(burst, this.#isFirstStart ? burst : 0);
      bucket.refill(0, this.#getPresence());
      this.#retries.set(service, bucket);
    }
    return bucket;
  }

  #addRetryTokens(service: string, requests: number): void {
    this.#getRetryBucket(service).refill(requests * this.#bounds.retryRatio, this.#getPresence());
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
    return this.#createCounterReport(counters);
  }

  #createCounterReport<T>(counters: Record<string, T>): CounterReport<T> | undefined {
    return Object.keys(counters).length === 0
      ? undefined
      : { age: Math.round(this.#getLifetime()), counters };
  }

  #collectRequests(): CounterReport<number> | undefined {
    const counts: Record<string, number> = {};
    for (const [service, count] of this.#requests) {
      if (this.#requestsReported.get(service) !== count) {
        counts[service] = count;
        this.#requestsReported.set(service, count);
      }
    }
    return this.#createCounterReport(counts);
  }

  #receiveRequests(from: mesh.MemberIdentity, payload: unknown): void {
    const { age, counters } = payload as CounterReport<number>;
    let previous = this.#requestsByVm.get(from.vm);
    if (previous?.incarnation !== from.incarnation) {
      previous = { incarnation: from.incarnation, counts: new Map() };
      this.#requestsByVm.set(from.vm, previous);
    }
    for (const [service, count] of Object.entries(counters)) {
      const before = previous.counts.get(service);
      const added = before === undefined ? count * this.#getTrackedShare(age) : count - before;
      this.#addRetryTokens(service, Math.max(0, added));
      previous.counts.set(service, count);
    }
  }
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
