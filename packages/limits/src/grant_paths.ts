/**
 * Sends grant requests to coordinators: directly or, while the direct path fails, by a detour
 * through an intermediary VM.
 *
 * A partition often separates only two data centres, and both still reach a third one. The lifetime
 * of a grant is measured from when the requesting VM sent its request, so a detour needs no further
 * safety rules.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";

/** Timeout of a request on the direct path. */
export const GRANT_TIMEOUT_MILLISECONDS = 150;

/** Timeout of a request through an intermediary VM, which waits for the coordinator's reply. */
const DETOUR_TIMEOUT_MILLISECONDS = GRANT_TIMEOUT_MILLISECONDS + 100;

/** Longest time from a request until its reply or the failure of all paths. */
export const MAXIMUM_REQUEST_MILLISECONDS = GRANT_TIMEOUT_MILLISECONDS +
  DETOUR_TIMEOUT_MILLISECONDS;

/** Interval at which a failed direct path is retried, with a request for which no caller waits. */
const DIRECT_RETRY_MILLISECONDS = 2_000;

/** A failed path is removed when no request has needed it for this long. */
const FAILED_PATH_RETENTION_MILLISECONDS = 60_000;

/** Sends requests to coordinators, and forwards requests of VMs that cannot reach a coordinator. */
export class GrantPaths {
  readonly #network: fleet.PeerNetwork;
  readonly #membership: fleet.Membership;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #now: () => number;
  /** Coordinators whose direct path failed, with the time of the next retry. */
  readonly #nextDirectRetries = new Map<model.VmId, number>();
  #detourCount = 0;

  constructor(
    network: fleet.PeerNetwork,
    membership: fleet.Membership,
    metrics: limiterMetrics.LimiterMetrics,
    now: () => number,
  ) {
    this.#network = network;
    this.#membership = membership;
    this.#metrics = metrics;
    this.#now = now;
  }

  /** Starts to forward requests of other VMs. */
  listen(): void {
    this.#network.handle(messages.DETOUR_CHANNEL, (message) => this.#forward(message));
  }

  /** Sends a request to a coordinator. Resolves with undefined when no path led to a reply. */
  async send(
    coordinator: model.VmId,
    request: messages.GrantRequest,
  ): Promise<messages.GrantAnswer | undefined> {
    const nextRetry = this.#nextDirectRetries.get(coordinator);
    if (nextRetry === undefined) {
      const answer = await this.#sendDirectly(coordinator, request);
      if (answer !== undefined) {
        return answer;
      }
      // A single reply may be late by chance, so the direct path is retried at once.
      this.#startDirectRetry(coordinator);
    } else if (nextRetry <= this.#now()) {
      this.#startDirectRetry(coordinator);
    }
    return this.#sendByDetour(coordinator, request);
  }

  /** Removes paths that failed long ago. */
  sweep(): void {
    const now = this.#now();
    for (const [coordinator, nextRetry] of this.#nextDirectRetries) {
      if (nextRetry + FAILED_PATH_RETENTION_MILLISECONDS <= now) {
        this.#nextDirectRetries.delete(coordinator);
      }
    }
  }

  #startDirectRetry(coordinator: model.VmId): void {
    this.#nextDirectRetries.set(coordinator, this.#now() + DIRECT_RETRY_MILLISECONDS);
    void this.#retryDirectPath(coordinator);
  }

  /** Sends an empty request, so that no caller waits for a path that may still be cut. */
  async #retryDirectPath(coordinator: model.VmId): Promise<void> {
    const answer = await this.#sendDirectly(coordinator, { asks: [] });
    if (answer !== undefined) {
      this.#nextDirectRetries.delete(coordinator);
    }
  }

  async #sendDirectly(
    coordinator: model.VmId,
    request: messages.GrantRequest,
  ): Promise<messages.GrantAnswer | undefined> {
    const result = await this.#network.call(
      coordinator,
      messages.GRANT_CHANNEL,
      request,
      GRANT_TIMEOUT_MILLISECONDS,
    );
    return result.isOk() ? parseAnswer(result.value) : undefined;
  }

  async #sendByDetour(
    coordinator: model.VmId,
    request: messages.GrantRequest,
  ): Promise<messages.GrantAnswer | undefined> {
    const intermediary = this.#chooseIntermediary(coordinator);
    if (intermediary === undefined) {
      return undefined;
    }
    const detour: messages.DetourRequest = { coordinator, request };
    const result = await this.#network.call(
      intermediary,
      messages.DETOUR_CHANNEL,
      detour,
      DETOUR_TIMEOUT_MILLISECONDS,
    );
    const answer = result.isOk() ? parseAnswer(result.value) : undefined;
    this.#metrics.detours.inc({ result: answer === undefined ? "failed" : "answered" });
    return answer;
  }

  /**
   * Chooses a different live VM each time, if possible outside the data centres of this VM and the
   * coordinator.
   */
  #chooseIntermediary(coordinator: model.VmId): model.VmId | undefined {
    const members = this.#membership.listMembers();
    const self = this.#network.self;
    const others = members.filter((member) =>
      member.state === "live" && member.vm !== self.vm && member.vm !== coordinator
    );
    const coordinatorDataCentre = members.find((member) => member.vm === coordinator)?.dataCentre;
    const outside = others.filter((member) =>
      member.dataCentre !== self.dataCentre && member.dataCentre !== coordinatorDataCentre
    );
    const candidates = outside.length > 0 ? outside : others;
    this.#detourCount++;
    return candidates[this.#detourCount % candidates.length]?.vm;
  }

  /**
   * Forwards another VM's request to a coordinator. An undefined reply means that the coordinator
   * did not reply.
   */
  #forward(message: fleet.PeerMessage): Promise<messages.GrantAnswer | undefined> {
    const detour = messages.detourRequest.safeParse(message.payload);
    if (!detour.success) {
      this.#metrics.malformed.inc({ channel: messages.DETOUR_CHANNEL });
      return Promise.resolve(undefined);
    }
    const coordinator = detour.data.coordinator as model.VmId;
    // Only on the direct path: requests that are forwarded in circles would multiply.
    return this.#sendDirectly(coordinator, detour.data.request);
  }
}

function parseAnswer(payload: unknown): messages.GrantAnswer | undefined {
  const answer = messages.grantAnswer.safeParse(payload);
  return answer.success ? answer.data : undefined;
}
