/**
 * Requests tokens from coordinators on behalf of the requests that this VM handles.
 *
 * At most one token request per workspace is in flight; requests that arrive meanwhile wait for the
 * next one. Token requests to one coordinator that arise at the same time are sent in one message.
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

/** How long a coordinator that did not reply is not contacted again. */
const NO_REPLY_BACKOFF_MILLISECONDS = 300;

const MAXIMUM_WAITING_PER_WORKSPACE = 2_000;

/** A busy VM prefetches tokens for the requests that it expects in this time. */
const PREFETCH_MILLISECONDS = 200;

/** How long the ends of grants wait to be sent with a token request. */
const RETURN_DELAY_MILLISECONDS = 15;

/** Least number of expected requests for which one token is prefetched. */
const MINIMUM_EXPECTED_ARRIVALS = 0.25;

/** Longest time for which a workspace is refused without a further request to its coordinator. */
const MAXIMUM_REFUSAL_MILLISECONDS = 1_000;

interface Waiter {
  readonly sinceMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly settle: (decision: types.RateDecision) => void;
}

interface PendingTokenRequest {
  readonly workspace: model.WorkspaceId;
  readonly holding: holders.WorkspaceHolding;
  readonly tokenRequest: messages.TokenRequest;
}

/** The requests of this VM that wait for tokens, and the token requests to coordinators. */
export class GrantClient {
  readonly #network: fleet.PeerNetwork;
  readonly #paths: paths.GrantPaths;
  readonly #holder: holders.GrantHolder;
  readonly #margins: safety.SafetyMargins;
  readonly #metrics: limiterMetrics.LimiterMetrics;
  readonly #now: () => number;
  readonly #findCoordinator: (workspace: model.WorkspaceId) => model.VmId;
  readonly #waiters = new Map<model.WorkspaceId, Waiter[]>();
  readonly #batches = new Map<model.VmId, PendingTokenRequest[]>();
  readonly #returns = new Map<model.VmId, messages.GrantReturn[]>();
  readonly #backoffUntil = new Map<model.VmId, number>();

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

  /**
   * Remaining time for which a coordinator that did not reply is not contacted; 0 if there is none.
   */
  getBackoffMilliseconds(coordinator: model.VmId): number {
    return Math.max(0, (this.#backoffUntil.get(coordinator) ?? 0) - this.#now());
  }

  /** Waits for a token. Settles before the deadline, after at most one token request. */
  waitForToken(
    workspace: model.WorkspaceId,
    holding: holders.WorkspaceHolding,
    deadlineMilliseconds: number,
  ): Promise<types.RateDecision> | types.RateDecision {
    const waiters = this.#waiters.get(workspace) ?? [];
    if (waiters.length >= MAXIMUM_WAITING_PER_WORKSPACE) {
      return createRefusal("no_share", paths.GRANT_TIMEOUT_MILLISECONDS);
    }
    this.#waiters.set(workspace, waiters);
    return new Promise((resolve) => {
      waiters.push({ sinceMilliseconds: this.#now(), deadlineMilliseconds, settle: resolve });
      this.#requestTokens(workspace, holding);
    });
  }

  /** Prefetches tokens if the workspace is busy on this VM. */
  prefetch(workspace: model.WorkspaceId, holding: holders.WorkspaceHolding): void {
    const now = this.#now();
    if (holding.isRequestPending || holding.refusedUntilMilliseconds > now) {
      return;
    }
    const expected = holding.getExpectedArrivals(PREFETCH_MILLISECONDS, now);
    if (expected >= 1 && holding.countTokens() < expected / 2) {
      this.#requestTokens(workspace, holding);
    }
  }

  /**
   * Reports the end of a grant to its coordinator after a short delay, so that the coordinator no
   * longer counts the grant as outstanding.
   */
  addReturn(coordinator: model.VmId, end: messages.GrantReturn): void {
    const returns = this.#returns.get(coordinator);
    if (returns !== undefined) {
      returns.push(end);
      return;
    }
    this.#returns.set(coordinator, [end]);
    void this.#sendReturns(coordinator);
  }

  /** Removes coordinators that may be contacted again. */
  sweep(): void {
    this.#paths.sweep();
    const now = this.#now();
    for (const [coordinator, until] of this.#backoffUntil) {
      if (until <= now) {
        this.#backoffUntil.delete(coordinator);
      }
    }
  }

  #requestTokens(workspace: model.WorkspaceId, holding: holders.WorkspaceHolding): void {
    if (holding.isRequestPending) {
      return;
    }
    holding.isRequestPending = true;
    const now = this.#now();
    const coordinator = this.#findCoordinator(workspace);
    const expected = holding.getExpectedArrivals(PREFETCH_MILLISECONDS, now);
    const tokenRequest: messages.TokenRequest = {
      workspace,
      waiting: this.#waiters.get(workspace)?.length ?? 0,
      ...choosePrefetch(expected, holding.countTokens()),
    };
    const batch = this.#batches.get(coordinator);
    const pending = { workspace, holding, tokenRequest };
    if (batch !== undefined) {
      batch.push(pending);
      return;
    }
    this.#batches.set(coordinator, [pending]);
    queueMicrotask(() => void this.#sendBatch(coordinator));
  }

  async #sendReturns(coordinator: model.VmId): Promise<void> {
    await kernel.sleep(RETURN_DELAY_MILLISECONDS);
    const returns = this.#removeReturns(coordinator);
    if (returns !== undefined) {
      const sent = this.#network.send(coordinator, messages.RETURN_CHANNEL, { returns });
      this.#metrics.returns.inc({ result: sent.isOk() ? "sent" : sent.error.kind });
    }
  }

  #removeReturns(coordinator: model.VmId): messages.GrantReturn[] | undefined {
    const returns = this.#returns.get(coordinator);
    this.#returns.delete(coordinator);
    return returns;
  }

  async #sendBatch(coordinator: model.VmId): Promise<void> {
    const batch = this.#batches.get(coordinator) ?? [];
    this.#batches.delete(coordinator);
    const sentMilliseconds = this.#now();
    const asks = batch.map((pending) => pending.tokenRequest);
    const returns = this.#removeReturns(coordinator);
    const request: messages.GrantRequest = returns === undefined ? { asks } : { asks, returns };
    const answer = await this.#paths.send(coordinator, request);
    const grants = answer?.grants;
    if (grants === undefined) {
      this.#backoffUntil.set(coordinator, this.#now() + NO_REPLY_BACKOFF_MILLISECONDS);
      this.#metrics.decisions.inc({ decision: "coordinator_silent" });
    }
    const byWorkspace = new Map(grants?.map((grant) => [grant.workspace, grant]));
    for (const pending of batch) {
      this.#completeRequest(
        pending,
        coordinator,
        byWorkspace.get(pending.workspace),
        sentMilliseconds,
      );
    }
  }

  #completeRequest(
    pending: PendingTokenRequest,
    coordinator: model.VmId,
    grant: messages.Grant | undefined,
    sentMilliseconds: number,
  ): void {
    const { workspace, holding, tokenRequest } = pending;
    const now = this.#now();
    holding.isRequestPending = false;
    if (grant !== undefined) {
      const lifetime = safety.getReceiverLifetimeMilliseconds(
        grant.lifetimeMilliseconds,
        this.#margins,
      );
      this.#holder.add(holding, coordinator, grant, sentMilliseconds + lifetime, now);
    }
    this.#settleWaiters(workspace, holding, tokenRequest.waiting, grant);
    if (this.#waiters.has(workspace)) {
      this.#requestTokens(workspace, holding);
    }
  }

  #settleWaiters(
    workspace: model.WorkspaceId,
    holding: holders.WorkspaceHolding,
    requested: number,
    grant: messages.Grant | undefined,
  ): void {
    const now = this.#now();
    const waiters = this.#waiters.get(workspace) ?? [];
    let left = requested;
    while (waiters.length > 0) {
      const admitted = this.#holder.tryTake(workspace, holding, now);
      if (!admitted && left <= 0) {
        break;
      }
      left--;
      const waiter = kernel.getDefined(waiters.shift(), "The list is not empty.");
      this.#metrics.waits.record(now - waiter.sinceMilliseconds);
      waiter.settle(admitted ? neverthrow.ok() : this.#createRefusal(holding, grant, now));
    }
    if (waiters.length === 0) {
      this.#waiters.delete(workspace);
    }
  }

  #createRefusal(
    holding: holders.WorkspaceHolding,
    grant: messages.Grant | undefined,
    nowMilliseconds: number,
  ): types.RateDecision {
    const retryAfter = grant?.retryAfterMilliseconds;
    if (retryAfter === undefined) {
      return createRefusal("no_share", NO_REPLY_BACKOFF_MILLISECONDS);
    }
    const refusedMilliseconds = Math.min(retryAfter, MAXIMUM_REFUSAL_MILLISECONDS);
    holding.refusedUntilMilliseconds = nowMilliseconds + refusedMilliseconds;
    return createRefusal("over_rate", retryAfter);
  }
}

/** Chooses the tokens to prefetch from the expected arrivals and the tokens held. */
function choosePrefetch(
  expected: number,
  held: number,
): Pick<messages.TokenRequest, "ahead" | "onlyFromPlenty"> {
  if (expected >= 1) {
    return { ahead: Math.max(0, Math.floor(expected - held)) };
  }
  const isLikely = expected >= MINIMUM_EXPECTED_ARRIVALS && held === 0;
  return isLikely ? { ahead: 1, onlyFromPlenty: true } : { ahead: 0 };
}

/** Creates a refusal. */
export function createRefusal(
  kind: errors.RateRefusal["kind"],
  retryAfterMilliseconds: number,
): types.RateDecision {
  return neverthrow.err({ kind, retryAfterMilliseconds });
}
