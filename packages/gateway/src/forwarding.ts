/**
 * Runs an admitted request: makes attempts until one is answered or no retry is allowed.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import type * as neverthrow from "neverthrow";
import type * as undici from "undici";
import * as callResults from "./call_results.ts";
import * as connections from "./connections.ts";
import * as exchanges from "./exchange.ts";
import * as headers from "./headers.ts";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import * as runs from "./request_run.ts";
import * as retries from "./retries.ts";

/** Share of the remaining time that an attempt may wait for a response if a retry is possible. */
const ATTEMPT_TIME_SHARE = 0.5;

/** How long an attempt may wait for a response on a connection that may be half-open. */
const IDLE_CONNECTION_ATTEMPT_MILLISECONDS = 2_000;

const RETRY_AFTER_MILLISECONDS = 1_000;

/** Forwards requests to targets. */
export class Forwarder {
  readonly #pool: targets.TargetPool;
  readonly #queue: limits.FairQueue;
  readonly #connections: connections.ConnectionTable;
  readonly #meters: meters.GatewayMeters;
  readonly #budgets = new retries.RetryBudgets();

  constructor(
    pool: targets.TargetPool,
    queue: limits.FairQueue,
    table: connections.ConnectionTable,
    gatewayMeters: meters.GatewayMeters,
  ) {
    this.#pool = pool;
    this.#queue = queue;
    this.#connections = table;
    this.#meters = gatewayMeters;
  }

  /** Runs a request until it is answered or refused. Never rejects. */
  async forward(ready: runs.ReadyRequest): Promise<runs.ForwardResult> {
    const { accepted } = ready;
    const budget = this.#budgets.get(accepted.service.id);
    budget.addRequest();
    const run = new runs.RequestRun(ready, budget);
    for (;;) {
      if (ready.running.endReason !== undefined) {
        return run.finish(callResults.createEndRefusal(run));
      }
      const lease = await this.#enterQueue(run);
      if (lease.isErr()) {
        const refusal = callResults.createQueueRefusal(lease.error, run);
        return lease.error.kind === "cancelled"
          ? run.finish(refusal)
          : finishUnanswered(run, refusal);
      }
      const result = await this.#attempt(run, lease.value);
      const next = this.#handleResult(run, result);
      if (next !== "retry") {
        return next;
      }
    }
  }

  #enterQueue(
    run: runs.RequestRun,
  ): Promise<neverthrow.Result<targets.TargetLease, limits.QueueRefusal>> {
    const targetRequest: targets.TargetRequest = {
      service: run.ready.accepted.service.id,
      route: run.ready.accepted.route.id,
      idempotent: run.ready.accepted.idempotent,
      exclude: run.triedTargets,
    };
    return this.#queue.enter(new runs.QueueEntry(run, () => this.#pool.tryAcquire(targetRequest)));
  }

  async #attempt(
    run: runs.RequestRun,
    lease: targets.TargetLease,
  ): Promise<exchanges.AttemptResult | undefined> {
    const { accepted, running: runningRequest } = run.ready;
    const targetConnections = this.#connections.get(lease.target);
    const acquired = targetConnections.acquire(accepted.idempotent, runningRequest);
    const connection = acquired instanceof Promise ? await acquired : acquired;
    // During the wait, the request may have been ended or its deadline may have passed.
    const isLate = accepted.deadlineMilliseconds <= kernel.getMonotonicMilliseconds();
    if (connection === undefined || runningRequest.endReason !== undefined || isLate) {
      if (connection !== undefined) {
        targetConnections.releaseUnused(connection);
      }
      lease.release(run.createOutcome("cancelled", 0));
      return undefined;
    }
    run.attempts++;
    run.triedTargets.add(lease.target.id);
    const result = await exchanges.runAttempt(
      connection.client,
      this.#createAttemptRequest(run, lease.target, connection),
    );
    const callResult = callResults.getCallResult(run.ready, result, connection.reused);
    lease.release(run.createOutcome(callResult, result.headMilliseconds));
    // The target may repeat its refusal where the response to the next request is due.
    const isUsable = result.connectionUsable && result.end !== "not_run_signal";
    targetConnections.release(connection, isUsable);
    run.targetMilliseconds += result.targetMilliseconds;
    run.withheld = result.withheld ?? run.withheld;
    return result;
  }

  #createAttemptRequest(
    run: runs.RequestRun,
    target: model.Target,
    connection: connections.TargetConnection,
  ): exchanges.AttemptRequest {
    const { accepted, body, answer, running: runningRequest } = run.ready;
    const left = accepted.deadlineMilliseconds - kernel.getMonotonicMilliseconds();
    const options: undici.Dispatcher.DispatchOptions = {
      origin: `http://${target.address}`,
      path: accepted.target,
      method: accepted.head.method,
      headers: run.createHeaders(left),
      body: body.createAttemptBody(),
      idempotent: accepted.idempotent,
    };
    return {
      options,
      answer,
      running: runningRequest,
      decideOnHead: (status, rawHeaders) => this.#decideOnHead(run, status, rawHeaders),
      headTimeoutMilliseconds: getHeadTimeout(run, connection, left),
    };
  }

  #decideOnHead(
    run: runs.RequestRun,
    status: number,
    rawHeaders: readonly Buffer[],
  ): exchanges.HeadDecision {
    const { accepted } = run.ready;
    if (!kernel.isFinalStatus(status)) {
      return "malformed";
    }
    if (!headers.isAnswerFramed(accepted.head.method, status, rawHeaders)) {
      return "unframed";
    }
    const signal = accepted.service.notRunSignal;
    if (
      signal !== undefined && status === signal.status &&
      headers.findAnswerHeader(rawHeaders, signal.header) === signal.value
    ) {
      return "not_run_signal";
    }
    if (!accepted.idempotent || !retries.isRetriedStatus(status)) {
      return "pass";
    }
    // Where no other response can come, this one is passed on without delay.
    const noRetryReason = retries.findNoRetryReasonWithBudget(
      run.createRetryConditions(false),
      run.budget,
    );
    if (noRetryReason !== undefined) {
      this.#meters.notRetried.inc({ reason: noRetryReason });
      return "pass";
    }
    return "server_error";
  }

  #handleResult(
    run: runs.RequestRun,
    result: exchanges.AttemptResult | undefined,
  ): runs.ForwardResult | "retry" {
    if (result === undefined) {
      return run.finish(callResults.createEndRefusal(run));
    }
    const provablyNotRun = !result.sent || result.end === "not_run_signal";
    run.mayHaveRun ||= !provablyNotRun;
    switch (result.end) {
      case "answered":
        return run.finishAnswered();
      case "server_error":
        // The refusal is sent only if the response was not kept, being too long or incomplete.
        return this.#retryOrFinish(run, result.end, false, refusals.Refusals.targetReset);
      case "ended":
        return this.#finishFailed(run, result, callResults.createEndRefusal(run));
      case "body_failed":
        return this.#finishFailed(run, result, callResults.createBodyRefusal(run, result.error));
      case "truncated":
        return this.#finishFailed(run, result, run.createRefusal(refusals.Refusals.targetReset));
      case "malformed":
        return this.#retryOrFinish(run, "reset", false, refusals.Refusals.answerMalformed);
      case "unframed":
        return run.finish(run.createRefusal(refusals.Refusals.answerUnframed));
      case "not_run_signal":
        return this.#retryOrFinish(run, result.end, true, refusals.Refusals.targetShed);
      case "invalid":
        return run.finish(run.createRefusal(refusals.Refusals.malformedRequest));
      case "connect_failed":
        return this.#retryOrFinish(run, result.end, true, refusals.Refusals.connectFailed);
      case "reset":
        return this.#retryOrFinish(run, result.end, false, refusals.Refusals.targetReset);
      case "attempt_timeout":
        return this.#retryOrFinish(run, result.end, false, refusals.Refusals.deadlineExceeded);
      default:
        return kernel.assertNever(result.end);
    }
  }

  #retryOrFinish(
    run: runs.RequestRun,
    reason: retries.RetryReason,
    provablyNotRun: boolean,
    row: refusals.RefusalRow,
  ): runs.ForwardResult | "retry" {
    const noRetryReason = retries.takeRetry(run.createRetryConditions(provablyNotRun), run.budget);
    if (noRetryReason === undefined) {
      this.#meters.retries.inc({ reason });
      return "retry";
    }
    this.#meters.notRetried.inc({ reason: noRetryReason });
    return finishUnanswered(run, run.createRefusal(row, RETRY_AFTER_MILLISECONDS));
  }

  #finishFailed(
    run: runs.RequestRun,
    result: exchanges.AttemptResult,
    refusal: refusals.Refusal,
  ): runs.ForwardResult {
    if (!result.answerBegan) {
      return run.finish(refusal);
    }
    this.#meters.truncatedAnswers.inc({ reason: run.ready.running.endReason ?? result.end });
    run.ready.answer.abort();
    return run.finish(undefined);
  }
}

/** Passes on a response that was withheld; without one, the request is refused. */
function finishUnanswered(
  run: runs.RequestRun,
  refusal: refusals.Refusal,
): runs.ForwardResult {
  if (run.withheld === undefined) {
    return run.finish(refusal);
  }
  run.ready.answer.pass(run.withheld);
  return run.finishAnswered();
}

function getHeadTimeout(
  run: runs.RequestRun,
  connection: connections.TargetConnection,
  leftMilliseconds: number,
): number | undefined {
  const conditions = run.createRetryConditions(false);
  // Both the current attempt and its target already count as used.
  if (!conditions.idempotent || retries.findNoRetryReason(conditions) !== undefined) {
    return undefined;
  }
  const share = leftMilliseconds * ATTEMPT_TIME_SHARE;
  const mayBeHalfOpen = connection.reused &&
    !connection.isRecentlyActive(kernel.getMonotonicMilliseconds());
  return mayBeHalfOpen ? Math.min(share, IDLE_CONNECTION_ATTEMPT_MILLISECONDS) : share;
}
