/**
 * The members that a VM tracks, which it learns of directly or through other VMs.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** Number of report intervals without a report after which a member is removed. */
const MAX_MISSED_INTERVALS = 3.5;

/** Time for which an unreachable member is left out of the ranking. */
const UNREACHABLE_MILLISECONDS = 2_000;

interface Member {
  readonly identity: types.MemberIdentity;
  sequence: number;
  lastReceivedAt: number;
  unreachableUntil: number;
}

/** Members by VM; a later incarnation replaces an earlier one. */
export class MemberTable {
  readonly #self: types.MemberIdentity;
  readonly #members = new Map<model.VmId, Member>();
  readonly #membersByTag = new Map<number, Member>();
  /** Incarnations that have ended, so that late reports do not add them again. */
  readonly #endedIncarnations = new Map<model.VmId, model.Incarnation>();

  constructor(self: types.MemberIdentity) {
    this.#self = self;
  }

  /** Number of VMs, this one included. */
  get size(): number {
    return this.#members.size + 1;
  }

  /** Adds a member that another VM has reported; returns whether it was new. */
  addMember(identity: types.MemberIdentity): boolean {
    const known = this.#members.get(identity.vm);
    if (known !== undefined && known.identity.incarnation >= identity.incarnation) {
      return false;
    }
    return this.#add(identity);
  }

  /** Records the sequence number of a report; returns its origin if the report is new. */
  recordReport(tag: number, sequence: number): types.MemberIdentity | undefined {
    const known = this.#membersByTag.get(tag);
    if (known === undefined || known.sequence >= sequence) {
      return undefined;
    }
    known.sequence = sequence;
    known.lastReceivedAt = kernel.getMonotonicMilliseconds();
    return known.identity;
  }

  /** Removes a member that has announced that it leaves. */
  endIncarnation(identity: types.MemberIdentity): void {
    this.#endedIncarnations.set(identity.vm, identity.incarnation);
    this.#remove(identity.vm);
  }

  markUnreachable(vm: model.VmId): void {
    const member = this.#members.get(vm);
    if (member !== undefined) {
      member.unreachableUntil = kernel.getMonotonicMilliseconds() + UNREACHABLE_MILLISECONDS;
    }
  }

  /** Ranks a member again that has just answered. */
  markReachable(vm: model.VmId): void {
    const member = this.#members.get(vm);
    if (member !== undefined) {
      member.unreachableUntil = 0;
    }
  }

  /** Removes members without a recent report. */
  expire(reportIntervalMilliseconds: number): void {
    const oldest = kernel.getMonotonicMilliseconds() -
      reportIntervalMilliseconds * MAX_MISSED_INTERVALS;
    for (const [vm, member] of this.#members) {
      if (member.lastReceivedAt < oldest) {
        this.#remove(vm);
      }
    }
  }

  list(): types.MemberIdentity[] {
    return [...this.#members.values()].map((member) => member.identity);
  }

  /**
   * Ranks the members of a data centre, this VM included, by capacity and then by age, with the
   * largest and oldest first. All VMs compute the same order, and restarts change it least.
   * Unreachable members are left out.
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
      this.#membersByTag.delete(member.identity.tag);
    }
  }

  #add(identity: types.MemberIdentity): boolean {
    const ended = this.#endedIncarnations.get(identity.vm);
    const hasEnded = ended !== undefined && ended >= identity.incarnation;
    if (identity.vm === this.#self.vm || hasEnded) {
      return false;
    }
    this.#remove(identity.vm);
    const member = {
      identity,
      sequence: 0,
      lastReceivedAt: kernel.getMonotonicMilliseconds(),
      unreachableUntil: 0,
    };
    this.#members.set(identity.vm, member);
    this.#membersByTag.set(identity.tag, member);
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
