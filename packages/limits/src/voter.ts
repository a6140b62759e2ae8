/**
 * One VM's votes: for each shard it is bound to at most one coordinator at a time.
 *
 * A vote lends this VM's own share of the shard's workspaces. The share is spent here again only
 * after the vote and every grant made on it have expired.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import type * as messages from "./messages.ts";
import * as safety from "./safety_margins.ts";

interface Hold {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly expiryMilliseconds: number;
}

/** What the voter knows of the configuration in force. */
export interface VoterConfiguration {
  readonly number: number;
  readonly digest: number;
  readonly vmLimit: number;
  /** Monotonic time at which it came into force here. */
  readonly sinceMilliseconds: number;
}

/** Why a request for votes was turned down as a whole. */
export type VoteRefusal = "starting" | "late" | "lease_too_long" | "configuration";

/** Called when a coordinator gives a shard up. */
export type ReleaseListener = (shard: number) => void;

/** Gives the votes of one VM. */
export class Voter {
  readonly #margins: safety.SafetyMargins;
  readonly #startedMilliseconds: number;
  readonly #holds = new Map<number, Hold>();
  readonly #lastSequences = new Map<model.Incarnation, number>();
  /** By shard: when the latest grant on this VM's own share can have ended. */
  readonly #reclaimMilliseconds = new Map<number, number>();
  readonly #onRelease: ReleaseListener;

  constructor(
    margins: safety.SafetyMargins,
    nowMilliseconds: number,
    onRelease: ReleaseListener,
  ) {
    this.#margins = margins;
    this.#startedMilliseconds = nowMilliseconds;
    this.#onRelease = onRelease;
  }

  /**
   * When a VM that started here may vote and spend its own share: a predecessor in its place may
   * have voted just before it died, and grants may have been made on that vote.
   */
  getReadyMilliseconds(vmLimit: number): number {
    if (!this.#margins.votingWait) {
      return this.#startedMilliseconds;
    }
    return this.#startedMilliseconds + safety.getLeaseMilliseconds(vmLimit) +
      safety.GRANT_LIFETIME_MILLISECONDS;
  }

  /** Why no vote can be given now; undefined when the request is in order. */
  check(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    own: VoterConfiguration,
    nowMilliseconds: number,
  ): VoteRefusal | undefined {
    if (request.sequence <= (this.#lastSequences.get(from.incarnation) ?? 0)) {
      return "late";
    }
    if (nowMilliseconds < this.getReadyMilliseconds(own.vmLimit)) {
      return "starting";
    }
    if (request.leaseMilliseconds > safety.getLeaseMilliseconds(own.vmLimit)) {
      return "lease_too_long";
    }
    return this.#agrees(request, own, nowMilliseconds) ? undefined : "configuration";
  }

  /** Binds this VM to the coordinator for the claimed shards that are free, and lists them. */
  vote(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    nowMilliseconds: number,
  ): number[] {
    this.#lastSequences.set(from.incarnation, request.sequence);
    this.#release(from, request);
    const granted: number[] = [];
    for (const shard of request.shards) {
      if (this.#bind(shard, from, request.leaseMilliseconds, nowMilliseconds)) {
        granted.push(shard);
      }
    }
    return granted;
  }

  /** The coordinator that this VM is bound to; undefined when it is free. */
  getHolder(shard: number, nowMilliseconds: number): model.VmId | undefined {
    const hold = this.#holds.get(shard);
    return hold !== undefined && hold.expiryMilliseconds > nowMilliseconds ? hold.vm : undefined;
  }

  /** Since when this VM's own share of a shard is its own; a time to come while it is lent. */
  getOwnSinceMilliseconds(shard: number, vmLimit: number): number {
    const reclaim = this.#reclaimMilliseconds.get(shard) ?? Number.NEGATIVE_INFINITY;
    return Math.max(reclaim, this.getReadyMilliseconds(vmLimit));
  }

  /** Forgets what has expired. */
  sweep(nowMilliseconds: number): void {
    for (const [shard, hold] of this.#holds) {
      if (hold.expiryMilliseconds <= nowMilliseconds) {
        this.#holds.delete(shard);
      }
    }
  }

  /** Forgets coordinators that are no longer listed and hold nothing here. */
  forgetCoordinators(listed: ReadonlySet<model.Incarnation | undefined>): void {
    const holding = new Set([...this.#holds.values()].map((hold) => hold.incarnation));
    for (const incarnation of this.#lastSequences.keys()) {
      if (!listed.has(incarnation) && !holding.has(incarnation)) {
        this.#lastSequences.delete(incarnation);
      }
    }
  }

  #agrees(
    request: messages.LeaseRequest,
    own: VoterConfiguration,
    nowMilliseconds: number,
  ): boolean {
    if (!this.#margins.configurationAgreement) {
      return true;
    }
    if (request.number === own.number) {
      return request.digest === own.digest;
    }
    const behind = request.number < own.number;
    const age = nowMilliseconds - own.sinceMilliseconds;
    return !behind || age < safety.CONFIGURATION_GRACE_MILLISECONDS;
  }

  #release(from: fleet.VmIdentity, request: messages.LeaseRequest): void {
    const claimed = new Set(request.shards);
    for (const [shard, hold] of this.#holds) {
      if (hold.incarnation === from.incarnation && !claimed.has(shard)) {
        this.#holds.delete(shard);
        this.#onRelease(shard);
      }
    }
  }

  #bind(
    shard: number,
    from: fleet.VmIdentity,
    leaseMilliseconds: number,
    nowMilliseconds: number,
  ): boolean {
    const hold = this.#holds.get(shard);
    const free = hold === undefined || hold.expiryMilliseconds <= nowMilliseconds;
    if (!free && hold.incarnation !== from.incarnation) {
      return false;
    }
    const expiryMilliseconds = nowMilliseconds + leaseMilliseconds;
    this.#holds.set(shard, { vm: from.vm, incarnation: from.incarnation, expiryMilliseconds });
    const grants = this.#margins.accrualAfterExpiry ? safety.GRANT_LIFETIME_MILLISECONDS : 0;
    this.#reclaimMilliseconds.set(shard, expiryMilliseconds + grants);
    return true;
  }
}
