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
    return this.#add(identity, 0);
  }

  /** Takes a report's sequence number; returns whether the report is new. */
  hear(identity: types.MemberIdentity, sequence: number): boolean {
    if (identity.vm === this.#self.vm) {
      return false;
    }
    const known = this.#members.get(identity.vm);
    if (known === undefined || known.identity.incarnation < identity.incarnation) {
      return this.#add(identity, sequence);
    }
    const isOld = known.identity.incarnation !== identity.incarnation ||
      known.sequence >= sequence;
    if (isOld) {
      return false;
    }
    known.sequence = sequence;
    known.heardAt = kernel.getMonotonicMilliseconds();
    return true;
  }

  /** Removes a member that said that it leaves. */
  end(identity: types.MemberIdentity): void {
    this.#ended.set(identity.vm, identity.incarnation);
    this.#members.delete(identity.vm);
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
        this.#members.delete(vm);
      }
    }
  }

  list(): types.MemberIdentity[] {
    return [...this.#members.values()].map((member) => member.identity);
  }

  /**
   * Members of a data centre, those that have lived longest first, which every VM ranks alike and
   * which restarts change least. This VM takes its own place; unreachable ones are left out.
   */
  rank(dataCentre: model.DataCentreId): types.MemberIdentity[] {
    const now = kernel.getMonotonicMilliseconds();
    const ranked = this.#self.dataCentre === dataCentre ? [this.#self] : [];
    for (const member of this.#members.values()) {
      if (member.identity.dataCentre === dataCentre && member.unreachableUntil <= now) {
        ranked.push(member.identity);
      }
    }
    return ranked.sort(compareByAge);
  }

  listDataCentres(): model.DataCentreId[] {
    const dataCentres = new Set([this.#self.dataCentre]);
    for (const member of this.#members.values()) {
      dataCentres.add(member.identity.dataCentre);
    }
    return [...dataCentres].sort();
  }

  #add(identity: types.MemberIdentity, sequence: number): boolean {
    const ended = this.#ended.get(identity.vm);
    const hasEnded = ended !== undefined && ended >= identity.incarnation;
    if (identity.vm === this.#self.vm || hasEnded) {
      return false;
    }
    this.#members.set(identity.vm, {
      identity,
      sequence,
      heardAt: kernel.getMonotonicMilliseconds(),
      unreachableUntil: 0,
    });
    return true;
  }
}

function compareByAge(left: types.MemberIdentity, right: types.MemberIdentity): number {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation < right.incarnation ? -1 : 1;
  }
  return left.vm < right.vm ? -1 : 1;
}
