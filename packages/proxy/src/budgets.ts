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

/** Share of the slack for retries that may be spent at once; the rest covers what VMs do unseen. */
const SHARE_OF_RETRY_SLACK = 0.6;

/** Share of the tolerated excess that is used; the rest covers what VMs do unseen. */
const SHARE_OF_RATE_EXCESS = 0.4;

/** VMs that were known within this time still count as holders of their share. */
const EXPECTED_FOR_MILLISECONDS = 20_000;

/** Levels are told by VMs that have lived for so long and taken by those that have lived for less. */
const KNOWS_LEVELS_AFTER_MILLISECONDS = 3_000;

/** A VM that has just started takes the fleet to be this large until it is linked. */
const ASSUMED_FLEET_SIZE = 50;

/** After so long without a link a VM takes itself to be alone. */
const ALONE_AFTER_MILLISECONDS = 2_000;

/** Levels of all buckets, for a VM that has just started. */
interface LevelTables {
  /** How long the VM that tells them has lived, in milliseconds. */
  readonly age: number;
  readonly rates: Record<string, number>;
  readonly retries: Record<string, number>;
}

/** Counters as they travel. */
interface CounterNews<T> {
  /** How long the VM that tells them has lived, in milliseconds. */
  readonly age: number;
  readonly counters: Record<string, T>;
}

type BucketNews = CounterNews<readonly [taken: number, asked: number]>;

/** The fleet's budgets as seen by one VM. */
export class Budgets implements kernel.Service {
  readonly #mesh: mesh.Mesh;
  readonly #store: declarations.DeclarationStore;
  readonly #bounds: types.ProxyBounds;
  readonly #isFirstStart: boolean;
  readonly #rates = new Map<string, placement.SharedBucket>();
  readonly #retries = new Map<string, placement.SharedBucket>();
  readonly #requests = new Map<string, number>();
  readonly #requestsReported = new Map<string, number>();
  readonly #requestsOfOthers = new Map<
    string,
    { incarnation: string; counts: Map<string, number> }
  >();
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  #sizes: { at: number; size: number }[] = [];
  #refilledAt = kernel.getMonotonicMilliseconds();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    vmMesh: mesh.Mesh,
    store: declarations.DeclarationStore,
    bounds: types.ProxyBounds,
    isFirstStart: boolean,
  ) {
    this.#mesh = vmMesh;
    this.#store = store;
    this.#bounds = bounds;
    this.#isFirstStart = isFirstStart;
    vmMesh.addSection("rates", {
      collect: () => this.#collectBuckets(this.#rates),
      receive: (from, payload) =>
        this.#receiveBuckets(from, payload, (workspace) => this.#getRate(workspace)),
    });
    vmMesh.addSection("retries", {
      collect: () => this.#collectBuckets(this.#retries),
      receive: (from, payload) =>
        this.#receiveBuckets(from, payload, (service) => this.#getRetries(service)),
    });
    vmMesh.addSection("requests", {
      collect: () => this.#collectRequests(),
      receive: (from, payload) => this.#receiveRequests(from, payload),
    });
    vmMesh.addFeed("levels", {
      createSnapshot: () => this.#createLevels(),
      receive: (payload) => this.#adoptLevels(payload as LevelTables),
    });
    store.onVersion((view) => this.#adoptRates(view));
  }

  start(): void {
    this.#timer = setInterval(() => this.#refill(), REFILL_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Takes a token of a workspace's rate; always possible for one without a limit. */
  takeRate(workspace: declarations.DeclaredWorkspace): boolean {
    if (workspace.ratePerSecond === undefined) {
      return true;
    }
    return this.#takeFrom(this.#getRate(workspace.id));
  }

  /** What decided on a workspace's latest request, for the log. */
  describeRate(workspace: declarations.DeclaredWorkspace) {
    const bucket = this.#rates.get(workspace.id);
    return {
      workspace: workspace.id,
      rate: workspace.ratePerSecond,
      burst: workspace.burst,
      level: bucket === undefined ? undefined : roundToTenth(bucket.level),
      share: bucket === undefined ? undefined : roundToTenth(bucket.shareLevel),
      vms: this.#mesh.size,
    };
  }

  /** Gives back the token of a request that was refused for another reason. */
  returnRate(workspace: declarations.DeclaredWorkspace): void {
    this.#rates.get(workspace.id)?.giveBack();
  }

  /** Counts a caller's request, from which the service's budget of retries grows. */
  countRequest(service: model.ServiceId): void {
    this.#requests.set(service, (this.#requests.get(service) ?? 0) + 1);
    this.#growRetries(service, 1);
  }

  /** Takes a retry of a service. */
  takeRetry(service: model.ServiceId): boolean {
    return this.#takeFrom(this.#getRetries(service));
  }

  /** Share of the retries at hand that is left, from 0 to 1. */
  getRetryLevel(service: model.ServiceId): number {
    return Math.max(0, this.#getRetries(service).level / this.#getRetryBurst());
  }

  #takeFrom(bucket: placement.SharedBucket | undefined): boolean {
    if (bucket === undefined) {
      return true;
    }
    const isTaken = bucket.take();
    if (bucket.isUrgent) {
      this.#mesh.hurry();
    }
    return isTaken;
  }

  #getLifetime(): number {
    return kernel.getMonotonicMilliseconds() - this.#startedAt;
  }

  #createLevels(): LevelTables {
    const list = (buckets: ReadonlyMap<string, placement.SharedBucket>) =>
      Object.fromEntries([...buckets].map(([name, bucket]) => [name, bucket.level]));
    return {
      age: this.#getLifetime(),
      rates: list(this.#rates),
      retries: list(this.#retries),
    };
  }

  /** Levels concern only the VM that they were sent to, so they are never passed on. */
  #adoptLevels(levels: LevelTables): boolean {
    const isUseful = levels.age >= KNOWS_LEVELS_AFTER_MILLISECONDS &&
      this.#getLifetime() < KNOWS_LEVELS_AFTER_MILLISECONDS;
    if (isUseful) {
      for (const [workspace, level] of Object.entries(levels.rates)) {
        this.#getRate(workspace)?.adoptLevel(level);
      }
      for (const [service, level] of Object.entries(levels.retries)) {
        this.#getRetries(service).adoptLevel(level);
      }
    }
    return false;
  }

  #getRate(workspace: string): placement.SharedBucket | undefined {
    let bucket = this.#rates.get(workspace);
    const declared = this.#store.current?.getWorkspaceById(workspace as model.WorkspaceId);
    if (bucket === undefined && declared?.ratePerSecond !== undefined) {
      // Of what ran before a restart nothing is known, so a replaced VM starts without tokens.
      const accrued = declared.ratePerSecond * this.#getLifetime() / 1_000;
      bucket = new placement.SharedBucket(
        declared.burst,
        this.#isFirstStart ? declared.burst : accrued,
        this.#getRateAllowance(declared),
      );
      this.#rates.set(workspace, bucket);
    }
    return bucket;
  }

  #getRateAllowance(workspace: declarations.DeclaredWorkspace): number {
    const { rateWindowSeconds, rateExcess, rateSlack } = this.#bounds;
    const perWindow = (workspace.ratePerSecond ?? 0) * rateWindowSeconds + workspace.burst;
    return SHARE_OF_RATE_EXCESS * (perWindow * rateExcess + rateSlack);
  }

  #getRetryBurst(): number {
    return Math.max(1, this.#bounds.retrySlack * SHARE_OF_RETRY_SLACK);
  }

  #getRetries(service: string): placement.SharedBucket {
    let bucket = this.#retries.get(service);
    if (bucket === undefined) {
      const burst = this.#getRetryBurst();
      bucket = new placement.SharedBucket(burst, this.#isFirstStart ? burst : 0);
      this.#retries.set(service, bucket);
    }
    return bucket;
  }

  #growRetries(service: string, requests: number): void {
    this.#getRetries(service).refill(requests * this.#bounds.retryRatio, this.#getPresence());
  }

  #adoptRates(view: declarations.DeclarationView): void {
    for (const workspace of view.declarations.workspaces) {
      if (workspace.ratePerSecond === undefined) {
        this.#rates.delete(workspace.id);
      } else {
        this.#rates.get(workspace.id)?.setLimits(
          workspace.burst,
          this.#getRateAllowance(workspace),
        );
      }
    }
  }

  #refill(): void {
    const now = kernel.getMonotonicMilliseconds();
    const seconds = (now - this.#refilledAt) / 1_000;
    this.#refilledAt = now;
    this.#noteSize(now);
    const presence = this.#getPresence();
    for (const [workspace, bucket] of this.#rates) {
      const declared = this.#store.current?.getWorkspaceById(workspace as model.WorkspaceId);
      bucket.refill((declared?.ratePerSecond ?? 0) * seconds, presence);
    }
  }

  #noteSize(now: number): void {
    const size = this.#mesh.size;
    this.#sizes = this.#sizes.filter((sample) =>
      sample.at > now - EXPECTED_FOR_MILLISECONDS && sample.size > size
    );
    this.#sizes.push({ at: now, size });
  }

  #getPresence(): placement.FleetPresence {
    const present = this.#mesh.size;
    const isUnknown = present === 1 && this.#getLifetime() < ALONE_AFTER_MILLISECONDS;
    const expected = this.#sizes.reduce((most, sample) => Math.max(most, sample.size), present);
    return {
      present,
      expected: isUnknown ? ASSUMED_FLEET_SIZE : expected,
      newsMilliseconds: this.#mesh.newsMilliseconds,
    };
  }

  #receiveBuckets(
    from: mesh.MemberIdentity,
    payload: unknown,
    find: (name: string) => placement.SharedBucket | undefined,
  ): void {
    const { age, counters } = payload as BucketNews;
    const followed = this.#getFollowedShare(age);
    for (const [name, [taken, asked]] of Object.entries(counters)) {
      find(name)?.receive(from.vm, from.incarnation, { taken, asked }, followed);
    }
  }

  /** Share of another VM's life that this VM has lived too. */
  #getFollowedShare(age: number): number {
    return Math.min(1, this.#getLifetime() / Math.max(age, 1));
  }

  #collectBuckets(buckets: ReadonlyMap<string, placement.SharedBucket>): BucketNews | undefined {
    const counters: Record<string, readonly [number, number]> = {};
    for (const [name, bucket] of buckets) {
      const collected = bucket.collect();
      if (collected !== undefined) {
        counters[name] = [collected.taken, collected.asked];
      }
    }
    return this.#createNews(counters);
  }

  #createNews<T>(counters: Record<string, T>): CounterNews<T> | undefined {
    return Object.keys(counters).length === 0
      ? undefined
      : { age: Math.round(this.#getLifetime()), counters };
  }

  #collectRequests(): CounterNews<number> | undefined {
    const counts: Record<string, number> = {};
    for (const [service, count] of this.#requests) {
      if (this.#requestsReported.get(service) !== count) {
        counts[service] = count;
        this.#requestsReported.set(service, count);
      }
    }
    return this.#createNews(counts);
  }

  #receiveRequests(from: mesh.MemberIdentity, payload: unknown): void {
    const { age, counters } = payload as CounterNews<number>;
    let known = this.#requestsOfOthers.get(from.vm);
    if (known?.incarnation !== from.incarnation) {
      known = { incarnation: from.incarnation, counts: new Map() };
      this.#requestsOfOthers.set(from.vm, known);
    }
    for (const [service, count] of Object.entries(counters)) {
      const before = known.counts.get(service);
      const grown = before === undefined ? count * this.#getFollowedShare(age) : count - before;
      this.#growRetries(service, Math.max(0, grown));
      known.counts.set(service, count);
    }
  }
}

function roundToTenth(value: number): number {
  return Math.round(value * 10) / 10;
}
