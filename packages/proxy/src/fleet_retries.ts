/**
 * The retries of each service that this VM may make, out of a budget of all VMs.
 *
 * The VMs of a data centre share what they earn in a pool at their relay, with which they exchange
 * messages over the link that they keep to it.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as types from "./types.ts";

/** Name of the exchange between a VM and its relay. */
const EXCHANGE = "retries";

/**
 * Share of the slack that may be saved up. The rest covers what was earned shortly before a window
 * and is on its way to a relay, and requests that are counted later than they were sent.
 */
const SHARE_OF_RETRY_SLACK = 0.8;

/**
 * Most tokens that a VM saves up which may believe that the fleet is smaller than it is: one that has
 * not run since the fleet's first start, or that has not reached any other yet.
 */
const MAX_TOKENS_OF_UNSURE_VM = 1;

type RetryCounter = ReturnType<typeof kernel.Metrics.prototype.createCounter<"outcome">>;

/** The retries that one VM may make. */
export class FleetRetries {
  readonly #allowance: placement.RetryAllowance;
  readonly #bounds: types.ProxyBounds;
  readonly #isFirstStart: boolean;
  readonly #countExpectedVms: () => number | undefined;
  readonly #counter: RetryCounter | undefined;
  /** The relay to which the capacity was lent last. */
  #lentTo: mesh.MemberIdentity | undefined;

  /**
   * @param countExpectedVms Returns the size of the fleet, with VMs out of contact; undefined while
   *   this VM knows of others, but has not reached any.
   * @param noticeStandstill Calls `clear` if this VM has stood still.
   * @param isFirstStart Whether the whole fleet starts for the first time.
   */
  constructor(
    vmMesh: Pick<mesh.Mesh, "addRelayExchange" | "sendToRelay" | "upstreamRelay" | "hasLeft">,
    bounds: types.ProxyBounds,
    countExpectedVms: () => number | undefined,
    noticeStandstill: () => void,
    isFirstStart: boolean,
    metrics?: kernel.Metrics,
  ) {
    this.#bounds = bounds;
    this.#isFirstStart = isFirstStart;
    this.#countExpectedVms = countExpectedVms;
    this.#counter = metrics?.createCounter(
      "hemlockwalk_retry_tokens_total",
      "Retries that were wanted, by whether the budget of the fleet had a token for them.",
      ["outcome"],
    );
    const allowance = new placement.RetryAllowance({
      getCapacity: () => this.#getCapacity(),
      isFirstStart,
      getHolder: () => vmMesh.upstreamRelay?.tag,
      hasLeft: (tag) => this.#lentTo?.tag === tag && vmMesh.hasLeft(this.#lentTo),
      send: (request) => {
        // While the capacity is lent to an earlier relay, it is the end of that one which counts.
        if (request.capacity > 0) {
          this.#lentTo = vmMesh.upstreamRelay;
        }
        vmMesh.sendToRelay(EXCHANGE, request);
      },
    });
    this.#allowance = allowance;
    vmMesh.addRelayExchange(EXCHANGE, {
      receiveRequest: ({ tag }, payload) => {
        noticeStandstill();
        return placement.isTokenRequest(payload) ? allowance.pool.receive(tag, payload) : undefined;
      },
      receiveResponse: ({ tag }, payload) => {
        noticeStandstill();
        if (placement.isTokenResponse(payload)) {
          allowance.receive(tag, payload);
        }
      },
    });
  }

  /** Counts a caller's request, which earns a part of a retry. */
  countRequest(service: model.ServiceId): void {
    this.#allowance.earn(service, this.#bounds.retryRatio);
  }

  /** Takes a retry of a service; returns whether there was one. */
  take(service: model.ServiceId): boolean {
    return this.#count(this.#allowance.take(service));
  }

  /** Takes a retry of a service, or waits for a moment until there is one. */
  takeOrWait(service: model.ServiceId): boolean | Promise<boolean> {
    const isTaken = this.#allowance.takeOrWait(service);
    return typeof isTaken === "boolean"
      ? this.#count(isTaken)
      : isTaken.then((isTakenLate) => this.#count(isTakenLate));
  }

  #count(isTaken: boolean): boolean {
    this.#counter?.inc({ outcome: isTaken ? "taken" : "refused" });
    return isTaken;
  }

  /** Share of a service's budget that is left, from 0 to 1. */
  getLevel(service: model.ServiceId): number {
    return this.#allowance.getFilledShare(service);
  }

  /** The same after one more request of the service was counted. */
  previewLevel(service: model.ServiceId): number {
    return this.#allowance.getFilledShare(service, this.#bounds.retryRatio);
  }

  /** Called every 100 ms. */
  advance(): void {
    this.#allowance.advance();
  }

  /** Drops what this VM has saved up, after it has stood still. */
  clear(): void {
    this.#allowance.clear();
  }

  /** This VM's part of what all VMs together may save up, in tokens of each service. */
  #getCapacity(): number {
    const vms = this.#countExpectedVms();
    const part = this.#bounds.retrySlack * SHARE_OF_RETRY_SLACK / (vms ?? 1);
    const isSure = this.#isFirstStart && vms !== undefined;
    return isSure ? part : Math.min(part, MAX_TOKENS_OF_UNSURE_VM);
  }
}
