/**
 * The votes of one VM: for each slot, whom it has promised the slot to, and until when.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as timings from "./claim_timing.ts";
import * as slots from "./slots.ts";

/** A VM that holds a slot, as far as it was heard. */
export interface SlotHolderHint {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
}

/** What a VM has promised to one incarnation of another. */
interface VotePromise {
  readonly end: number;
  /** Latest round of votes that the promise was given in. */
  readonly round: number;
}

/** Votes and the directory of holders. */
export class SlotVoter {
  readonly #timing: timings.ClaimTiming;
  readonly #started = kernel.getMonotonicMilliseconds();
  /** For each slot, the last promise to each incarnation. */
  readonly #promises: Map<string, VotePromise>[] = Array.from(
    { length: slots.SLOTS },
    () => new Map<string, VotePromise>(),
  );
  readonly #holders = new Map<number, SlotHolderHint>();

  constructor(timing: timings.ClaimTiming) {
    this.#timing = timing;
  }

  /**
   * Votes for a VM as the holder of a slot.
   *
   * @param lease How long the vote binds, from now.
   * @param round Number of the candidate's round of votes.
   * @returns For how many milliseconds no other VM can have held the slot by a vote of this one;
   * undefined when it does not vote.
   */
  vote(
    slot: number,
    candidate: fleet.VmIdentity,
    lease: number,
    round: number,
  ): number | undefined {
    const now = kernel.getMonotonicMilliseconds();
    // An earlier process of this VM may have voted, and its votes bind until the longest lease ends.
    const abstention = this.#timing.maxLease * (1 + timings.CLOCK_DRIFT);
    const uptime = now - this.#started;
    if (uptime < abstention || lease > this.#timing.maxLease) {
      return undefined;
    }
    const promises = this.#getPromises(slot);
    const candidateName = getName(candidate);
    let othersEnd = Number.NEGATIVE_INFINITY;
    for (const [name, promise] of promises) {
      if (name !== candidateName) {
        othersEnd = Math.max(othersEnd, promise.end);
      }
    }
    if (othersEnd > now) {
      return undefined;
    }
    this.#forget(promises, now);
    const earlier = promises.get(candidateName);
    // A request that was overtaken must not shorten a promise or make it look older.
    promises.set(candidateName, {
      end: Math.max(now + lease, earlier?.end ?? 0),
      round: Math.max(round, earlier?.round ?? 0),
    });
    // Votes that this VM's earlier process gave count until twice the longest lease.
    return Math.max(0, Math.min(uptime - 2 * abstention, now - othersEnd));
  }

  /**
   * Takes a vote back on the wish of its holder.
   *
   * @param round The round of votes after which the holder wished it.
   * @param neverHeld The votes never made the VM a holder, so they leave no trace.
   */
  release(slot: number, candidate: fleet.VmIdentity, round: number, neverHeld: boolean): void {
    const promises = this.#getPromises(slot);
    const name = getName(candidate);
    const promise = promises.get(name);
    // A late release must not take back the vote of a later round.
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
    const name = getName(candidate);
    return [...this.#getPromises(slot)].some(
      ([other, promise]) => other !== name && promise.end > now,
    );
  }

  /** Notes that a VM says it holds a slot. */
  noteHolder(slot: number, holder: SlotHolderHint): void {
    this.#holders.set(slot, { vm: holder.vm, incarnation: holder.incarnation });
  }

  /** Who was last heard to hold a slot. */
  findHolder(slot: number): SlotHolderHint | undefined {
    return this.#holders.get(slot);
  }

  #forget(promises: Map<string, VotePromise>, now: number): void {
    for (const [name, promise] of promises) {
      if (now - promise.end > this.#timing.memory + this.#timing.retention) {
        promises.delete(name);
      }
    }
  }

  #getPromises(slot: number): Map<string, VotePromise> {
    return kernel.getDefined(this.#promises[slot], "Slots are checked numbers.");
  }
}

function getName(identity: fleet.VmIdentity): string {
  return `${identity.vm} ${identity.incarnation}`;
}
