/**
 * The votes of one VM: for each shard, it votes for at most one coordinator at a time.
 *
 * A vote leases this VM's own share of the shard's workspaces to the coordinator. The VM spends the
 * share itself again only after the vote and every grant that relies on it have expired.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import type * as messages from "./messages.ts";
import * as safety from "./safety_margins.ts";

interface Vote {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly expiryMilliseconds: number;
}

/** The configuration in force at the voter. */
export interface VoterConfiguration {
  readonly number: number;
  readonly digest: number;
  readonly vmLimit: number;
  /** Monotonic time at which it came into force on this VM. */
  readonly sinceMilliseconds: number;
}

/** Why a request for votes was refused as a whole. */
export type VoteRefusal = "starting" | "late" | "lease_too_long" | "configuration";

/** Called when a coordinator releases a shard. */
export type ReleaseListener = (shard: number) => void;

/** Decides on requests for the votes of one VM. */
export class Voter {
  readonly #margins: safety.SafetyMargins;
  readonly #startedMilliseconds: number;
  readonly #votes = new Map<number, Vote>();
  readonly #lastSequences = new Map<model.Incarnation, number>();
  /** By shard: the time by which every grant that relies on this VM's vote has expired. */
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
   * When this VM may vote and spend its own share. A predecessor that it replaces may have voted
   * just before it died, and grants may rely on that vote.
   */
  getReadyMilliseconds(vmLimit: number): number {
    if (!this.#margins.votingWait) {
      return this.#startedMilliseconds;
    }
    return this.#startedMilliseconds + safety.getLeaseMilliseconds(vmLimit) +
      safety.GRANT_LIFETIME_MILLISECONDS;
  }

  /** Returns why no vote can be given now; undefined when the request is acceptable. */
  check(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    ownConfiguration: VoterConfiguration,
    nowMilliseconds: number,
  ): VoteRefusal | undefined {
    if (request.sequence <= (this.#lastSequences.get(from.incarnation) ?? 0)) {
      return "late";
    }
    if (nowMilliseconds < this.getReadyMilliseconds(ownConfiguration.vmLimit)) {
      return "starting";
    }
    if (request.leaseMilliseconds > safety.getLeaseMilliseconds(ownConfiguration.vmLimit)) {
      return "lease_too_long";
    }
    return this.#isConfigurationAccepted(request, ownConfiguration, nowMilliseconds)
      ? undefined
      : "configuration";
  }

  /** Votes for the coordinator in the claimed shards that are free, and returns these shards. */
  vote(
    from: fleet.VmIdentity,
    request: messages.LeaseRequest,
    nowMilliseconds: number,
  ): number[] {
    this.#lastSequences.set(from.incarnation, request.sequence);
    this.#release(from, request);
    const granted: number[] = [];
    for (const shard of request.shards) {
      if (this.#tryBind(shard, from, request.leaseMilliseconds, nowMilliseconds)) {
        granted.push(shard);
      }
    }
    return granted;
  }

  /** The coordinator that holds this VM's vote for a shard; undefined if there is none. */
  getCoordinator(shard: number, nowMilliseconds: number): model.VmId | undefined {
    const vote = this.#votes.get(shard);
    return vote !== undefined && vote.expiryMilliseconds > nowMilliseconds ? vote.vm : undefined;
  }

  /**
   * Time from which this VM may spend its own share of a shard; in the future while it is leased.
   */
  getOwnShareSinceMilliseconds(shard: number, vmLimit: number): number {
    const reclaim = this.#reclaimMilliseconds.get(shard) ?? Number.NEGATIVE_INFINITY;
    return Math.max(reclaim, this.getReadyMilliseconds(vmLimit));
  }

  /** Removes expired votes. */
  sweep(nowMilliseconds: number): void {
    for (const [shard, vote] of this.#votes) {
      if (vote.expiryMilliseconds <= nowMilliseconds) {
        this.#votes.delete(shard);
      }
    }
  }

  /** Removes coordinators that are no longer listed and hold none of this VM's votes. */
  removeCoordinators(listed: ReadonlySet<model.Incarnation | undefined>): void {
    const voteHolders = new Set([...this.#votes.values()].map((vote) => vote.incarnation));
    for (const incarnation of this.#lastSequences.keys()) {
      if (!listed.has(incarnation) && !voteHolders.has(incarnation)) {
        this.#lastSequences.delete(incarnation);
      }
    }
  }

  #isConfigurationAccepted(
    request: messages.LeaseRequest,
    ownConfiguration: VoterConfiguration,
    nowMilliseconds: number,
  ): boolean {
    if (!this.#margins.configurationAgreement) {
      return true;
    }
    if (request.number === ownConfiguration.number) {
      return request.digest === ownConfiguration.digest;
    }
    const isBehind = request.number < ownConfiguration.number;
    const age = nowMilliseconds - ownConfiguration.sinceMilliseconds;
    return !isBehind || age < safety.CONFIGURATION_GRACE_MILLISECONDS;
  }

  #release(from: fleet.VmIdentity, request: messages.LeaseRequest): void {
    const claimed = new Set(request.shards);
    for (const [shard, vote] of this.#votes) {
      if (vote.incarnation === from.incarnation && !claimed.has(shard)) {
        this.#votes.delete(shard);
        this.#onRelease(shard);
      }
    }
  }

  #tryBind(
    shard: number,
    from: fleet.VmIdentity,
    leaseMilliseconds: number,
    nowMilliseconds: number,
  ): boolean {
    const vote = this.#votes.get(shard);
    const isFree = vote === undefined || vote.expiryMilliseconds <= nowMilliseconds;
    if (!isFree && vote.incarnation !== from.incarnation) {
      return false;
    }
    const expiryMilliseconds = nowMilliseconds + leaseMilliseconds;
    this.#votes.set(shard, { vm: from.vm, incarnation: from.incarnation, expiryMilliseconds });
    const grantMilliseconds = this.#margins.accrualAfterExpiry
      ? safety.GRANT_LIFETIME_MILLISECONDS
      : 0;
    this.#reclaimMilliseconds.set(shard, expiryMilliseconds + grantMilliseconds);
    return true;
  }
}
