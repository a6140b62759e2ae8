/**
 * The VMs among which the rates of workspaces are divided, as one VM knows them, and since when each
 * of them has been in contact.
 *
 * Designed for fleets of 30 to 750 VMs, of which half are killed at once and start again within
 * seconds, and whose data centres lose each other for an hour. A VM that disappears without notice
 * may be running out of contact, so it keeps its share until it is replaced or the retention period
 * ends. A VM that announces that it leaves gives its share back at once.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/**
 * Time for which a VM that disappeared without notice keeps its share: twice as long as regions lose
 * each other. A fleet that shrinks for good without notice forgoes that share for as long.
 */
const RETENTION_MILLISECONDS = 7_200_000;

/** VMs that are first seen within this time after the start were in contact from the start. */
const START_MILLISECONDS = 5_000;

/** One incarnation of another VM. */
export interface ExpectedVm {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly dataCentre: model.DataCentreId;
  readonly address: string;
}

/** A VM that disappeared without notice, and how long ago. */
export type MissingVm = readonly [vm: ExpectedVm, agoMilliseconds: number];

interface KnownVm {
  identity: ExpectedVm;
  /** Monotonic time since which it has been in contact, in milliseconds; undefined if it is not. */
  contactSince: number | undefined;
  /** Monotonic time at which it disappeared without notice; undefined while it is tracked. */
  missingSince: number | undefined;
}

/** What one VM knows of the others that take part in the rates. */
export class ExpectedFleet {
  readonly #self: Pick<ExpectedVm, "vm" | "address">;
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  readonly #others = new Map<model.VmId, KnownVm>();

  constructor(self: Pick<ExpectedVm, "vm" | "address">) {
    this.#self = self;
  }

  /** Number of VMs that keep a share, this one included. */
  get size(): number {
    return this.#others.size + 1;
  }

  /**
   * Records the other VMs that are tracked now.
   *
   * @param inContact Those whose reports can reach this VM.
   * @param hasLeft Whether a VM has announced that it leaves.
   */
  record(
    tracked: readonly ExpectedVm[],
    inContact: readonly ExpectedVm[],
    hasLeft: (identity: ExpectedVm) => boolean,
  ): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#recordMissing(new Set(tracked.map(({ vm }) => vm)), hasLeft);
    // Known VMs come first, so that a new one does not replace one that has come back with it.
    for (const identity of tracked) {
      const known = this.#others.get(identity.vm);
      if (known !== undefined) {
        known.identity = identity;
        known.missingSince = undefined;
      }
    }
    const contacts = new Set(inContact.map(({ vm }) => vm));
    for (const identity of tracked) {
      const known = this.#others.get(identity.vm) ?? this.#add(identity);
      known.contactSince = contacts.has(identity.vm) ? known.contactSince ?? now : undefined;
    }
  }

  /**
   * Records that a report of another VM has arrived.
   *
   * @returns Monotonic time since which that VM has been in contact, in milliseconds.
   */
  hear(identity: ExpectedVm): number {
    const known = this.#others.get(identity.vm) ?? this.#add(identity);
    known.identity = identity;
    known.missingSince = undefined;
    known.contactSince ??= kernel.getMonotonicMilliseconds();
    return known.contactSince;
  }

  /**
   * Lists the missing VMs of the data centres of which none is in contact, for a VM that has just
   * started. In other data centres they may have been replaced meanwhile.
   */
  listUnreachable(): MissingVm[] {
    const now = kernel.getMonotonicMilliseconds();
    const reachable = new Set(
      [...this.#others.values()].filter(({ missingSince }) => missingSince === undefined)
        .map(({ identity }) => identity.dataCentre),
    );
    return [...this.#others.values()].flatMap(({ identity, missingSince }) => {
      if (missingSince === undefined || reachable.has(identity.dataCentre)) {
        return [];
      }
      const { vm, incarnation, dataCentre, address } = identity;
      return [[{ vm, incarnation, dataCentre, address }, Math.round(now - missingSince)] as const];
    });
  }

  /** Records VMs that another VM misses. Their age stays, so that they are not retained for ever. */
  adopt(missing: readonly MissingVm[]): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const [identity, agoMilliseconds] of missing) {
      const isSelf = identity.vm === this.#self.vm || identity.address === this.#self.address;
      if (!isSelf && !this.#others.has(identity.vm)) {
        const missingSince = now - agoMilliseconds;
        this.#others.set(identity.vm, { identity, contactSince: undefined, missingSince });
      }
    }
  }

  #recordMissing(
    tracked: ReadonlySet<model.VmId>,
    hasLeft: (identity: ExpectedVm) => boolean,
  ): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const [vm, known] of this.#others) {
      if (tracked.has(vm)) {
        continue;
      }
      known.missingSince ??= now;
      known.contactSince = undefined;
      if (hasLeft(known.identity) || now - known.missingSince > RETENTION_MILLISECONDS) {
        this.#others.delete(vm);
      }
    }
  }

  /** Adds a VM under a new name, in place of the missing one that it replaces. */
  #add(identity: ExpectedVm): KnownVm {
    const missing = [...this.#others.values()].filter((known) =>
      known.missingSince !== undefined && known.identity.dataCentre === identity.dataCentre
    );
    const replaced = missing.find((known) => known.identity.address === identity.address) ??
      missing.sort((left, right) => (left.missingSince ?? 0) - (right.missingSince ?? 0))[0];
    if (replaced !== undefined) {
      this.#others.delete(replaced.identity.vm);
    }
    const now = kernel.getMonotonicMilliseconds();
    const isStarting = now - this.#startedAt < START_MILLISECONDS;
    const added: KnownVm = {
      identity,
      contactSince: isStarting ? Number.NEGATIVE_INFINITY : undefined,
      missingSince: undefined,
    };
    this.#others.set(identity.vm, added);
    return added;
  }
}
