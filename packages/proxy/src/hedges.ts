/**
 * Second attempts of one VM: the operators' options, what each service may still use of them, the
 * processing times they depend on, and the counters.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as types from "./types.ts";

/** What became of an extra attempt. */
export type HedgeEvent =
  | "sent"
  /** Its response was returned to the caller. */
  | "won"
  /** One of the two attempts was cancelled because the other had a response. */
  | "cancelled";

/** The second attempts of one VM. */
export class Hedges {
  readonly #getOptions: () => types.HedgingOptions;
  readonly #events: kernel.Counter<"event">;
  readonly #withheld: kernel.Counter<"reason">;
  readonly #allowances = new Map<model.ServiceId, placement.HedgeAllowance>();
  readonly quantiles = new placement.ProcessingQuantiles();

  /** @param getOptions Returns the options in force, which may change. */
  constructor(getOptions: () => types.HedgingOptions, metrics: kernel.Metrics) {
    this.#getOptions = getOptions;
    this.#events = metrics.createCounter(
      "hemlockwalk_hedges_total",
      "Attempts at a second target while the first one still ran the request, by event.",
      ["event"],
    );
    this.#withheld = metrics.createCounter(
      "hemlockwalk_hedges_withheld_total",
      "Second attempts that were due and not made, by reason.",
      ["reason"],
    );
  }

  /** Extra attempts allowed for each request of a service; 0 if it is not hedged. */
  getShare(service: model.ServiceId): number {
    const { maxExtraShare, services } = this.#getOptions();
    return services.get(service) ?? maxExtraShare;
  }

  /** Counts a request accepted from a caller, which adds to its service's allowance. */
  countRequest(service: model.ServiceId): void {
    const share = this.getShare(service);
    if (share === 0) {
      // Once hedging is switched on again, the allowance starts at 0.
      this.#allowances.delete(service);
      return;
    }
    const allowance = this.#allowances.get(service) ?? new placement.HedgeAllowance();
    allowance.accrue(share);
    this.#allowances.set(service, allowance);
  }

  isWithinShare(service: model.ServiceId): boolean {
    return this.getShare(service) > 0 && this.#allowances.get(service)?.isAvailable === true;
  }

  /** The same after one more request of the service was counted. */
  isWithinShareAfterRequest(service: model.ServiceId): boolean {
    const share = this.getShare(service);
    const allowance = this.#allowances.get(service) ?? new placement.HedgeAllowance();
    return share > 0 && allowance.isAvailableAfter(share);
  }

  /** Takes one extra attempt from a service's allowance; returns whether it was available. */
  take(service: model.ServiceId): boolean {
    return this.isWithinShare(service) && this.#allowances.get(service)?.take() === true;
  }

  count(event: HedgeEvent): void {
    this.#events.inc({ event });
  }

  countWithheld(reason: placement.HedgeObstacle): void {
    this.#withheld.inc({ reason });
  }
}
