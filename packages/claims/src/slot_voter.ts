/**
 * The votes of one VM: for each slot, which VM it has promised the slot to, and until when.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as timings from "./claim_timing.ts";
import * as slots from "./slots.ts";

/** Wait before a slot without a known holder is asked again. */
const NO_HOLDER_WAIT_MILLISECONDS = 1_000;

/** The VM that last reported holding a slot. */
export interface SlotHolderHint {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
}

/** A promise of a slot to one incarnation of a VM. */
interface VotePromise {
  readonly end: number;
  /** Latest round of votes in which the promise was made. */
  readonly round: number;
}

/** Votes on slots, and the known holders of slots. */
export class SlotVoter {
  readonly #timing: timings.ClaimTiming;
  readonly #started = kernel.getMonotonicMilliseconds();
  /** For each slot, the last promise to each incarnation of a VM. */
  readonly #promises: Map<string, VotePromise>[] = Array.from(
    { length: slots.SLOT_COUNT },
    () => new Map<string, VotePromise>(),
  );
  readonly #holders = new Map<number, SlotHolderHint>();

  constructor(timing: timings.ClaimTiming) {
    this.#timing = timing;
  }

  /**
   * Votes for a VM as the holder of a slot.
   *
   * @param lease Milliseconds from now for which the vote is binding.
   * @param round Number of the candidate's round of votes.
   * @returns For how many milliseconds no other VM can have held the slot by a vote of this one;
   * undefined if it does not vote.
   */
  vote(
    slot: number,
    candidate: fleet.VmIdentity,
    lease: number,
    round: number,
  ): number | undefined {
    const now = kernel.getMonotonicMilliseconds();
    // A previous process of this VM may have voted. Its votes are binding for up to the longest
    // lease.
    const abstention = this.#timing.maxLease * (1 + timings.MAX_CLOCK_DRIFT);
    const uptime = now - this.#started;
    if (uptime < abstention || lease > this.#timing.maxLease) {
      return undefined;
    }
    const promises = this.#getPromises(slot);
    const candidateName = getCandidateKey(candidate);
    let othersEnd = Number.NEGATIVE_INFINITY;
    for (const [name, promise] of promises) {
      if (name !== candidateName) {
        othersEnd = Math.max(othersEnd, promise.end);
      }
    }
    if (othersEnd > now) {
      return undefined;
    }
    this.#removeExpired(promises, now);
    const earlier = promises.get(candidateName);
    // A request that arrives out of order must not shorten a promise or lower its round.
    promises.set(candidateName, {
      end: Math.max(now + lease, earlier?.end ?? 0),
      round: Math.max(round, earlier?.round ?? 0),
    });
    // Votes of this VM's previous process count until twice the longest lease after the start.
    return Math.max(0, Math.min(uptime - 2 * abstention, now - othersEnd));
  }

  /**
   * Withdraws a vote at the request of the candidate.
   *
   * @param round The candidate's latest round of votes at the time of the request.
   * @param neverHeld The candidate never held the slot, so the promise is deleted without a trace.
   */
  release(slot: number, candidate: fleet.VmIdentity, round: number, neverHeld: boolean): void {
    const promises = this.#getPromises(slot);
    const name = getCandidateKey(candidate);
    const promise = promises.get(name);
    // A delayed release must not withdraw the vote of a later round.
    if (promise === undefined || promise.round > round) {
      return;
    }
    if (neverHeld) {
      promises.delete(name);
    } else {
      const end = Math.min(promise.end, kernel.getMonotonicMilliseconds());
      promises.set(name, { end, round: promise.round });
    }
  }

  /** Whether a slot is promised to a VM other than the given one. */
  isPromisedToOther(slot: number, candidate: fleet.VmIdentity): boolean {
    const now = kernel.getMonotonicMilliseconds();
    const name = getCandidateKey(candidate);
    return [...this.#getPromises(slot)].some(
      ([other, promise]) => other !== name && promise.end > now,
    );
  }

  /** Records a VM that reports holding a slot. */
  recordHolder(slot: number, holder: SlotHolderHint): void {
    this.#holders.set(slot, { vm: holder.vm, incarnation: holder.incarnation });
  }

  /**
   * Estimates how long a caller should wait for a slot without a known holder.
   *
   * If no slot has a known holder one lease after the start of this VM, the whole fleet must have
   * started recently. Its slots grant no claims before its votes cover the protected period.
   */
  estimateWait(): number {
    const uptime = kernel.getMonotonicMilliseconds() - this.#started;
    if (this.#holders.size > 0 || uptime < this.#timing.minLease) {
      return NO_HOLDER_WAIT_MILLISECONDS;
    }
    const abstention = this.#timing.maxLease * (1 + timings.MAX_CLOCK_DRIFT);
    const coldStart = 2 * abstention + timings.getProtectedPeriod(this.#timing);
    return Math.max(NO_HOLDER_WAIT_MILLISECONDS, coldStart - uptime);
  }

  /** The VM that last reported holding a slot. */
  findHolder(slot: number): SlotHolderHint | undefined {
    return this.#holders.get(slot);
  }

  #removeExpired(promises: Map<string, VotePromise>, now: number): void {
    for (const [name, promise] of promises) {
      if (now - promise.end > this.#timing.maxEntryAge + this.#timing.retention) {
        promises.delete(name);
      }
    }
  }

  #getPromises(slot: number): Map<string, VotePromise> {
    return kernel.getDefined(this.#promises[slot], "Slot numbers are validated.");
  }
}

function getCandidateKey(identity: fleet.VmIdentity): string {
  return `${identity.vm} ${identity.incarnation}`;
}
