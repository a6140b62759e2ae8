/**
 * Stores the verdicts received from coordinators and selects those that this VM follows.
 *
 * The lifetime of a verdict starts at the newest digest of this VM that the coordinator had
 * received, by this VM's own clock. Verdicts in a delayed message, or from a coordinator that no
 * longer receives digests from this VM, therefore expire.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as types from "./types.ts";

/** The verdicts on one service that a coordinator last sent. */
export interface HeldVerdicts {
  readonly sender: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly sequence: number;
  readonly receivedAt: number;
  readonly validUntil: number;
  readonly verdicts: readonly types.Verdict[];
  readonly mayTry: boolean;
}

/** Why a message was ignored. */
export type IgnoredReason = "expired" | "reordered" | "future";

/** Stores verdicts by service and sender. */
export class VerdictStore {
  readonly #held = new Map<model.ServiceId, Map<model.VmId, HeldVerdicts>>();
  readonly #expire: boolean;

  /** @param expire Whether verdicts expire. Only tests of this guard disable it. */
  constructor(expire: boolean) {
    this.#expire = expire;
  }

  /** Stores the verdicts of a message. Returns the reason if the message is ignored. */
  accept(
    from: fleet.VmIdentity,
    message: messages.VerdictMessage,
    lifetimeMilliseconds: number,
    nowMilliseconds: number,
  ): IgnoredReason | undefined {
    const validUntil = message.echo + lifetimeMilliseconds;
    if (message.echo > nowMilliseconds) {
      return "future";
    }
    if (this.#expire && validUntil <= nowMilliseconds) {
      return "expired";
    }
    let bySender = this.#held.get(message.service);
    if (bySender === undefined) {
      bySender = new Map();
      this.#held.set(message.service, bySender);
    }
    const earlier = bySender.get(from.vm);
    if (
      earlier !== undefined && earlier.incarnation === from.incarnation &&
      earlier.sequence >= message.sequence
    ) {
      return "reordered";
    }
    bySender.set(from.vm, {
      sender: from.vm,
      incarnation: from.incarnation,
      sequence: message.sequence,
      receivedAt: nowMilliseconds,
      validUntil,
      verdicts: messages.listVerdicts(message.verdicts),
      mayTry: message.mayTry,
    });
    return undefined;
  }

  /**
   * The verdicts to follow: those of the highest-ranked coordinator whose verdicts are still valid.
   *
   * @param ranked Coordinators of the service in this VM's view, highest rank first. Verdicts of
   * others are ignored.
   */
  getCurrent(
    service: model.ServiceId,
    ranked: readonly model.VmId[],
    nowMilliseconds: number,
  ): HeldVerdicts | undefined {
    const bySender = this.#held.get(service);
    for (const vm of ranked) {
      const held = bySender?.get(vm);
      if (held !== undefined && (!this.#expire || held.validUntil > nowMilliseconds)) {
        return held;
      }
    }
    return undefined;
  }

  /** Removes expired verdicts and returns their number. */
  removeExpired(nowMilliseconds: number): number {
    let expired = 0;
    for (const [service, bySender] of this.#held) {
      for (const [vm, held] of bySender) {
        if (this.#expire && held.validUntil <= nowMilliseconds) {
          bySender.delete(vm);
          expired += held.verdicts.length;
        }
      }
      if (bySender.size === 0) {
        this.#held.delete(service);
      }
    }
    return expired;
  }
}
