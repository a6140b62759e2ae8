/**
 * Asks coordinators for tokens on behalf of this VM's requests.
 *
 * At most one question per workspace is under way; requests that come meanwhile wait for the next.
 * Questions to one coordinator that arise together travel in one message.
 */

import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";
import * as holders from "./grant_holder.ts";
import * as paths from "./grant_paths.ts";
import * as messages from "./messages.ts";
import type * as limiterMetrics from "./metrics.ts";
import * as safety from "./safety_margins.ts";
import type * as types from "./types.ts";

/** For how long a coordinator that did not answer is not asked again. */
const SILENCE_MILLISECONDS = 300;

const MAXIMUM_WAITING_PER_WORKSPACE = 2_000;

/** Time for which a busy VM holds tokens ahead of need. */
const AHEAD_MILLISECONDS = 200;

/** How long the ends of grants wait for a question to travel with. */
const RETURN_DELAY_MILLISECONDS = 15;

/** From this many expected requests on, one token is worth holding. */
const LEAST_EXPECTED_ARRIVALS = 0.25;

/** A refused workspace is asked for again no later than this. */
const LONGEST_DRY_MILLISECONDS = 1_000;

interface Waiter {
  readonly sinceMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly settle: (decision: types.RateDecision) => void;
}

interface Question {
  readonly workspace: model.WorkspaceId;
  readonly holding: holders.WorkspaceHolding;
  readonly ask: messages.Ask;
}

/** The requests of this VM that wait for tokens, and the questions about them. */
export class GrantClient {
  readonly #network: fleet.PeerNetwork;
  readonly #paths: paths.GrantPaths;
  readonly #holder: holders.GrantHolder;
  readonly #margins: safety.SafetyMargins;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #now: () => number;
  readonly #findCoordinator: (workspace: model.WorkspaceId) => model.VmId;
  readonly #waiters = new Map<model.WorkspaceId, Waiter[]>();
  readonly #batches = new Map<model.VmId, Question[]>();
  readonly #returns = new Map<model.VmId, messages.Returned[]>();
  readonly #silentUntil = new Map<model.VmId, number>();

  constructor(
    network: fleet.PeerNetwork,
    grantPaths: paths.GrantPaths,
    holder: holders.GrantHolder,
    margins: safety.SafetyMargins,
    metrics: limiterMetrics.LimiterMetrics,
    now: () => number,
    findCoordinator: (workspace: model.WorkspaceId) => model.VmId,
  ) {
    this.#network = network;
    this.#paths = grantPaths;
    this.#holder = holder;
    this.#margins = margins;
    this.#metrics = metrics;
    this.#now = now;
    this.#findCoordinator = findCoordinator;
  }

  /** Whether a coordinator has not answered lately, and how long it is left alone. */
  getSilenceMilliseconds(coordinator: model.VmId): number {
    return Math.max(0, (this.#silentUntil.get(coordinator) ?? 0) - this.#now());
  }

  /** Waits for a token. Settles before the deadline and after one question at the most. */
  wait(
    workspace: model.WorkspaceId,
    holding: holders.WorkspaceHolding,
    deadlineMilliseconds: number,
  ): Promise<types.RateDecision> | types.RateDecision {
    const waiters = this.#waiters.get(workspace) ?? [];
    if (waiters.length >= MAXIMUM_WAITING_PER_WORKSPACE) {
      return refuse("no_share", paths.GRANT_TIMEOUT_MILLISECONDS);
    }
    this.#waiters.set(workspace, waiters);
    return new Promise((resolve) => {
      waiters.push({ sinceMilliseconds: this.#now(), deadlineMilliseconds, settle: resolve });
      this.#ask(workspace, holding);
    });
  }

  /** Asks for tokens ahead of need where the workspace is busy here. */
  refill(workspace: model.WorkspaceId, holding: holders.WorkspaceHolding): void {
    const now = this.#now();
    if (holding.asking || holding.dryUntilMilliseconds > now) {
      return;
    }
    const expected = holding.getExpectedArrivals(AHEAD_MILLISECONDS, now);
    if (expected >= 1 && holding.countTokens() < expected / 2) {
      this.#ask(workspace, holding);
    }
  }

  /** Tells a coordinator soon that a grant has ended, so that it no longer counts there. */
  addReturn(coordinator: model.VmId, end: messages.Returned): void {
    const returns = this.#returns.get(coordinator);
    if (returns !== undefined) {
      returns.push(end);
      return;
    }
    this.#returns.set(coordinator, [end]);
    void this.#sendReturns(coordinator);
  }

  /** Forgets coordinators that were silent long ago. */
  sweep(): void {
    this.#paths.sweep();
    const now = this.#now();
    for (const [coordinator, until] of this.#silentUntil) {
      if (until <= now) {
        this.#silentUntil.delete(coordinator);
      }
    }
  }

  #ask(workspace: model.WorkspaceId, holding: holders.WorkspaceHolding): void {
    if (holding.asking) {
      return;
    }
    holding.asking = true;
    const now = this.#now();
    const coordinator = this.#findCoordinator(workspace);
    const expected = holding.getExpectedArrivals(AHEAD_MILLISECONDS, now);
    const ask: messages.Ask = {
      workspace,
      waiting: this.#waiters.get(workspace)?.length ?? 0,
      ...chooseAhead(expected, holding.countTokens()),
    };
    const batch = this.#batches.get(coordinator);
    const question = { workspace, holding, ask };
    if (batch !== undefined) {
      batch.push(question);
      return;
    }
    this.#batches.set(coordinator, [question]);
    queueMicrotask(() => void this.#send(coordinator));
  }

  async #sendReturns(coordinator: model.VmId): Promise<void> {
    await kernel.sleep(RETURN_DELAY_MILLISECONDS);
    const returns = this.#takeReturns(coordinator);
    if (returns !== undefined) {
      const sent = this.#network.send(coordinator, messages.RETURN_CHANNEL, { returns });
      this.#metrics.returns.inc({ result: sent.isOk() ? "sent" : sent.error.kind });
    }
  }

  #takeReturns(coordinator: model.VmId): messages.Returned[] | undefined {
    const returns = this.#returns.get(coordinator);
    this.#returns.delete(coordinator);
    return returns;
  }

  async #send(coordinator: model.VmId): Promise<void> {
    const questions = this.#batches.get(coordinator) ?? [];
    this.#batches.delete(coordinator);
    const sent = this.#now();
    const asks = questions.map((question) => question.ask);
    const returns = this.#takeReturns(coordinator);
    const request: messages.GrantRequest = returns === undefined ? { asks } : { asks, returns };
    const answer = await this.#paths.ask(coordinator, request);
    const grants = answer?.grants;
    if (grants === undefined) {
      this.#silentUntil.set(coordinator, this.#now() + SILENCE_MILLISECONDS);
      this.#metrics.decisions.inc({ decision: "coordinator_silent" });
    }
    const byWorkspace = new Map(grants?.map((grant) => [grant.workspace, grant]));
    for (const question of questions) {
      this.#finish(question, coordinator, byWorkspace.get(question.workspace), sent);
    }
  }

  #finish(
    question: Question,
    coordinator: model.VmId,
    grant: messages.Grant | undefined,
    sentMilliseconds: number,
  ): void {
    const { workspace, holding, ask } = question;
    const now = this.#now();
    holding.asking = false;
    if (grant !== undefined) {
      const lifetime = safety.getReceiverMilliseconds(grant.lifetimeMilliseconds, this.#margins);
      this.#holder.add(holding, coordinator, grant, sentMilliseconds + lifetime, now);
    }
    this.#serve(workspace, holding, ask.waiting, grant);
    if (this.#waiters.has(workspace)) {
      this.#ask(workspace, holding);
    }
  }

  #serve(
    workspace: model.WorkspaceId,
    holding: holders.WorkspaceHolding,
    asked: number,
    grant: messages.Grant | undefined,
  ): void {
    const now = this.#now();
    const waiters = this.#waiters.get(workspace) ?? [];
    let left = asked;
    while (waiters.length > 0) {
      const admitted = this.#holder.tryTake(workspace, holding, now);
      if (!admitted && left <= 0) {
        break;
      }
      left--;
      const waiter = kernel.getDefined(waiters.shift(), "The list is not empty.");
      this.#metrics.waits.record(now - waiter.sinceMilliseconds);
      waiter.settle(admitted ? neverthrow.ok() : this.#refuse(holding, grant, now));
    }
    if (waiters.length === 0) {
      this.#waiters.delete(workspace);
    }
  }

  #refuse(
    holding: holders.WorkspaceHolding,
    grant: messages.Grant | undefined,
    nowMilliseconds: number,
  ): types.RateDecision {
    const retryAfter = grant?.retryAfterMilliseconds;
    if (retryAfter === undefined) {
      return refuse("no_share", SILENCE_MILLISECONDS);
    }
    const dry = Math.min(retryAfter, LONGEST_DRY_MILLISECONDS);
    holding.dryUntilMilliseconds = nowMilliseconds + dry;
    return refuse("over_rate", retryAfter);
  }
}

/** What is asked for ahead of need, by the arrivals that are expected and the tokens held. */
function chooseAhead(
  expected: number,
  held: number,
): Pick<messages.Ask, "ahead" | "onlyFromPlenty"> {
  if (expected >= 1) {
    return { ahead: Math.max(0, Math.floor(expected - held)) };
  }
  const isLikely = expected >= LEAST_EXPECTED_ARRIVALS && held === 0;
  return isLikely ? { ahead: 1, onlyFromPlenty: true } : { ahead: 0 };
}

/** Creates a refusal. */
export function refuse(
  kind: errors.RateRefusal["kind"],
  retryAfterMilliseconds: number,
): types.RateDecision {
  return neverthrow.err({ kind, retryAfterMilliseconds });
}
