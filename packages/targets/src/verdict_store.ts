/**
 * The verdicts of coordinators that this VM holds, and which of them it follows.
 *
 * A verdict is dated by the newest digest of this VM that its sender had seen, on this VM's own clock.
 * So a message that was held up, or a coordinator that no longer hears this VM, cannot bind it.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as types from "./types.ts";

/** What a coordinator last told of one service. */
export interface HeldVerdicts {
  readonly sender: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly sequence: number;
  readonly receivedAt: number;
  readonly validUntil: number;
  readonly verdicts: readonly types.Verdict[];
  readonly mayTry: boolean;
}

/** Why a message was not taken. */
export type IgnoredReason = "expired" | "reordered" | "future";

/** Holds verdicts by service and sender. */
export class VerdictBoard {
  readonly #held = new Map<model.ServiceId, Map<model.VmId, HeldVerdicts>>();
  readonly #expire: boolean;

  /** @param expire Whether verdicts end at all; always, but in the tests of this guard. */
  constructor(expire: boolean) {
    this.#expire = expire;
  }

  /** Takes a message; tells why when it is not taken. */
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
   * The verdicts to follow: those of the sender that ranks first among those still valid.
   *
   * @param ranked Coordinators of the service, best first, in this VM's own view. Others are ignored.
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

  /** Removes what has expired; tells how many verdicts ended so. */
  removeExpired(nowMilliseconds: number): number {
    let ended = 0;
    for (const [service, bySender] of this.#held) {
      for (const [vm, held] of bySender) {
        if (this.#expire && held.validUntil <= nowMilliseconds) {
          bySender.delete(vm);
          ended += held.verdicts.length;
        }
      }
      if (bySender.size === 0) {
        this.#held.delete(service);
      }
    }
    return ended;
  }
}
