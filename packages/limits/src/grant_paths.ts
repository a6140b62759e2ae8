/**
 * The way of a question to a coordinator: directly, or through a third VM while the direct way fails.
 *
 * A partition often parts two data centres only, and both still reach a third one. A grant is dated
 * from the sending of the question by the VM that asks, so the detour needs no other safety.
 */

import type * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";

/** How long a question may take on the direct way. */
export const GRANT_TIMEOUT_MILLISECONDS = 150;

/** How long a question may take through a third VM, which waits for its own part of the way. */
const DETOUR_TIMEOUT_MILLISECONDS = GRANT_TIMEOUT_MILLISECONDS + 100;

/** The longest time from a question to its answer or the end of all ways. */
export const LONGEST_QUESTION_MILLISECONDS = GRANT_TIMEOUT_MILLISECONDS +
  DETOUR_TIMEOUT_MILLISECONDS;

/** How often a direct way that failed is tried again, with a question that nobody waits for. */
const DIRECT_RETRY_MILLISECONDS = 2_000;

/** A way that failed is forgotten when nobody has asked for so long. */
const FORGET_MILLISECONDS = 60_000;

/** Asks coordinators, and carries the questions of VMs that cannot reach theirs. */
export class GrantPaths {
  readonly #network: fleet.PeerNetwork;
  readonly #membership: fleet.Membership;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #now: () => number;
  /** Coordinators whose direct way failed, with the time of its next trial. */
  readonly #nextTrials = new Map<model.VmId, number>();
  #detours = 0;

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

  /** Carries questions of other VMs from now on. */
  listen(): void {
    this.#network.handle(messages.DETOUR_CHANNEL, (message) => this.#carry(message));
  }

  /** Asks a coordinator; undefined when no way led to an answer. */
  async ask(
    coordinator: model.VmId,
    request: messages.GrantRequest,
  ): Promise<messages.GrantAnswer | undefined> {
    const nextTrial = this.#nextTrials.get(coordinator);
    if (nextTrial === undefined) {
      const answer = await this.#askDirectly(coordinator, request);
      if (answer !== undefined) {
        return answer;
      }
      // One answer may be late by chance, so the way is tried again at once.
      this.#startTrial(coordinator);
    } else if (nextTrial <= this.#now()) {
      this.#startTrial(coordinator);
    }
    return this.#askByDetour(coordinator, request);
  }

  /** Forgets ways that failed long ago. */
  sweep(): void {
    const now = this.#now();
    for (const [coordinator, nextTrial] of this.#nextTrials) {
      if (nextTrial + FORGET_MILLISECONDS <= now) {
        this.#nextTrials.delete(coordinator);
      }
    }
  }

  #startTrial(coordinator: model.VmId): void {
    this.#nextTrials.set(coordinator, this.#now() + DIRECT_RETRY_MILLISECONDS);
    void this.#tryDirectWay(coordinator);
  }

  /** Sends an empty question, so that no request waits for a way that may still be cut. */
  async #tryDirectWay(coordinator: model.VmId): Promise<void> {
    const answer = await this.#askDirectly(coordinator, { asks: [] });
    if (answer !== undefined) {
      this.#nextTrials.delete(coordinator);
    }
  }

  async #askDirectly(
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

  async #askByDetour(
    coordinator: model.VmId,
    request: messages.GrantRequest,
  ): Promise<messages.GrantAnswer | undefined> {
    const third = this.#chooseThird(coordinator);
    if (third === undefined) {
      return undefined;
    }
    const detour: messages.DetourRequest = { coordinator, request };
    const result = await this.#network.call(
      third,
      messages.DETOUR_CHANNEL,
      detour,
      DETOUR_TIMEOUT_MILLISECONDS,
    );
    const answer = result.isOk() ? parseAnswer(result.value) : undefined;
    this.#metrics.detours.inc({ result: answer === undefined ? "failed" : "answered" });
    return answer;
  }

  /** Another live VM each time, outside both data centres where there is one. */
  #chooseThird(coordinator: model.VmId): model.VmId | undefined {
    const members = this.#membership.listMembers();
    const self = this.#network.self;
    const others = members.filter((member) =>
      member.state === "live" && member.vm !== self.vm && member.vm !== coordinator
    );
    const far = members.find((member) => member.vm === coordinator)?.dataCentre;
    const outside = others.filter((member) =>
      member.dataCentre !== self.dataCentre && member.dataCentre !== far
    );
    const candidates = outside.length > 0 ? outside : others;
    this.#detours++;
    return candidates[this.#detours % candidates.length]?.vm;
  }

  /** Asks a coordinator for another VM. An empty answer says that there was none. */
  #carry(message: fleet.PeerMessage): Promise<messages.GrantAnswer | undefined> {
    const detour = messages.detourRequest.safeParse(message.payload);
    if (!detour.success) {
      this.#metrics.malformed.inc({ channel: messages.DETOUR_CHANNEL });
      return Promise.resolve(undefined);
    }
    const coordinator = detour.data.coordinator as model.VmId;
    // Only the direct way: a question that goes in circles would multiply.
    return this.#askDirectly(coordinator, detour.data.request);
  }
}

function parseAnswer(payload: unknown): messages.GrantAnswer | undefined {
  const answer = messages.grantAnswer.safeParse(payload);
  return answer.success ? answer.data : undefined;
}
