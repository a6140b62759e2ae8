/**
 * The members that a VM has heard of, directly or through others.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** A member that was not heard for this many of its reporting intervals is taken as gone. */
const MISSED_INTERVALS = 3.5;

/** A member that could not be reached is passed over for so long. */
const UNREACHABLE_MILLISECONDS = 2_000;

interface Member {
  readonly identity: types.MemberIdentity;
  sequence: number;
  heardAt: number;
  unreachableUntil: number;
}

/** Members by VM; a later incarnation replaces an earlier one. */
export class MemberTable {
  readonly #self: types.MemberIdentity;
  readonly #members = new Map<model.VmId, Member>();
  readonly #byTag = new Map<number, Member>();
  /** Lives that have ended, so that late reports do not bring them back. */
  readonly #ended = new Map<model.VmId, model.Incarnation>();

  constructor(self: types.MemberIdentity) {
    this.#self = self;
  }

  /** Number of VMs, this one included. */
  get size(): number {
    return this.#members.size + 1;
  }

  /** Learns of a member from another's list; returns whether it was new. */
  introduce(identity: types.MemberIdentity): boolean {
    const known = this.#members.get(identity.vm);
    if (known !== undefined && known.identity.incarnation >= identity.incarnation) {
      return false;
    }
    return this.#add(identity);
  }

  /** Takes a report's sequence number; returns whose report it is if it is new. */
  hear(tag: number, sequence: number): types.MemberIdentity | undefined {
    const known = this.#byTag.get(tag);
    if (known === undefined || known.sequence >= sequence) {
      return undefined;
    }
    known.sequence = sequence;
    known.heardAt = kernel.getMonotonicMilliseconds();
    return known.identity;
  }

  /** Removes a member that said that it leaves. */
  end(identity: types.MemberIdentity): void {
    this.#ended.set(identity.vm, identity.incarnation);
    this.#remove(identity.vm);
  }

  markUnreachable(vm: model.VmId): void {
    const member = this.#members.get(vm);
    if (member !== undefined) {
      member.unreachableUntil = kernel.getMonotonicMilliseconds() + UNREACHABLE_MILLISECONDS;
    }
  }

  /** Removes members that were not heard for too long. */
  expire(reportIntervalMilliseconds: number): void {
    const oldest = kernel.getMonotonicMilliseconds() -
      reportIntervalMilliseconds * MISSED_INTERVALS;
    for (const [vm, member] of this.#members) {
      if (member.heardAt < oldest) {
        this.#remove(vm);
      }
    }
  }

  list(): types.MemberIdentity[] {
    return [...this.#members.values()].map((member) => member.identity);
  }

  /**
   * Members of a data centre, those of the largest capacity first and among them those that have
   * lived longest, which every VM ranks alike and which restarts change least. This VM takes its own
   * place; unreachable ones are left out.
   */
  rank(dataCentre: model.DataCentreId): types.MemberIdentity[] {
    const now = kernel.getMonotonicMilliseconds();
    const ranked = this.#self.dataCentre === dataCentre ? [this.#self] : [];
    for (const member of this.#members.values()) {
      if (member.identity.dataCentre === dataCentre && member.unreachableUntil <= now) {
        ranked.push(member.identity);
      }
    }
    return ranked.sort(compareRanks);
  }

  listDataCentres(): model.DataCentreId[] {
    const dataCentres = new Set([this.#self.dataCentre]);
    for (const member of this.#members.values()) {
      dataCentres.add(member.identity.dataCentre);
    }
    return [...dataCentres].sort();
  }

  #remove(vm: model.VmId): void {
    const member = this.#members.get(vm);
    if (member !== undefined) {
      this.#members.delete(vm);
      this.#byTag.delete(member.identity.tag);
    }
  }

  #add(identity: types.MemberIdentity): boolean {
    const ended = this.#ended.get(identity.vm);
    const hasEnded = ended !== undefined && ended >= identity.incarnation;
    if (identity.vm === this.#self.vm || hasEnded) {
      return false;
    }
    this.#remove(identity.vm);
    const member = {
      identity,
      sequence: 0,
      heardAt: kernel.getMonotonicMilliseconds(),
      unreachableUntil: 0,
    };
    this.#members.set(identity.vm, member);
    this.#byTag.set(identity.tag, member);
    return true;
  }
}

function compareRanks(left: types.MemberIdentity, right: types.MemberIdentity): number {
  if (left.capacity !== right.capacity) {
    return right.capacity - left.capacity;
  }
  if (left.incarnation !== right.incarnation) {
    return left.incarnation < right.incarnation ? -1 : 1;
  }
  return left.vm < right.vm ? -1 : 1;
}
