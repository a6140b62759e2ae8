/**
 * Runs an admitted request: makes attempts until one is answered or no retry is allowed.
 *
 * A running attempt is never given up for its slowness. After a silence, another one is placed
 * beside it if that is possible at once (see `AttemptRace`). The attempts after a failed one wait
 * for a slot, since nothing runs then that the wait could delay.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import type * as neverthrow from "neverthrow";
import type * as undici from "undici";
import * as races from "./attempt_race.ts";
import * as callResults from "./call_results.ts";
import * as connections from "./connections.ts";
import * as exchanges from "./exchange.ts";
import * as headers from "./headers.ts";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import * as runs from "./request_run.ts";
import * as retries from "./retries.ts";

/** Share of the remaining time after which a silent attempt calls for another one beside it. */
const SILENCE_TIME_SHARE = 0.5;

/** Silence that calls for another attempt if the connection may be half-open. */
const IDLE_CONNECTION_SILENCE_MILLISECONDS = 2_000;

const RETRY_AFTER_MILLISECONDS = 1_000;

/** Ends of attempts after which the request goes on: with the others that run, else with a retry. */
const FAILURES: ReadonlySet<exchanges.AttemptEnd> = new Set([
  "not_run_signal",
  "server_error",
  "malformed",
  "unframed",
  "connect_failed",
  "reset",
]);

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
    const budget = this.#budgets.get(ready.accepted.service.id);
    budget.addRequest();
    const run = new runs.RequestRun(ready, budget);
    try {
      return await this.#run(run);
    } finally {
      run.dropRest();
    }
  }

  async #run(run: runs.RequestRun): Promise<runs.ForwardResult> {
    const { ready } = run;
    for (;;) {
      if (ready.running.endReason !== undefined) {
        return this.#finishEnded(run);
      }
      const lease = await this.#enterQueue(run);
      if (lease.isErr()) {
        return lease.error.kind === "cancelled"
          ? this.#finishEnded(run)
          : this.#finishUnanswered(run, callResults.createQueueRefusal(lease.error, run));
      }
      const result = await this.#race(run, lease.value);
      const next = await this.#handleResult(run, result);
      if (next !== "retry") {
        return next;
      }
    }
  }

  #enterQueue(
    run: runs.RequestRun,
  ): Promise<neverthrow.Result<targets.TargetLease, limits.QueueRefusal>> {
    const targetRequest = run.createTargetRequest();
    return this.#queue.enter(new runs.QueueEntry(run, () => this.#pool.tryAcquire(targetRequest)));
  }

  /** Makes an attempt, and others beside it while it is silent. */
  async #race(
    run: runs.RequestRun,
    lease: targets.TargetLease,
  ): Promise<exchanges.AttemptResult | undefined> {
    const { running: runningRequest } = run.ready;
    if (runningRequest.endReason !== undefined) {
      lease.release(run.createOutcome("cancelled", 0));
      return undefined;
    }
    const race = new races.AttemptRace<targets.TargetLease, exchanges.AttemptResult>({
      runAttempt: (placed, attempt) => this.#attempt(run, placed, attempt),
      isFailure,
      tryPlace: () => this.#tryPlaceBeside(run),
    });
    runningRequest.onEnd(() => race.cancel());
    try {
      return await race.run(lease);
    } finally {
      runningRequest.onEnd(undefined);
    }
  }

  /** Takes a retry and a slot for an attempt beside a silent one, if both are there at once. */
  #tryPlaceBeside(run: runs.RequestRun): targets.TargetLease | undefined {
    const conditions = run.createRetryConditions(false);
    const mayRetry = retries.findNoRetryReasonWithBudget(conditions, run.budget) === undefined;
    // An attempt that is not needed for certain does not go ahead of requests without any.
    if (!mayRetry || this.#queue.hasWaiting(run.ready.accepted.service.id)) {
      return undefined;
    }
    const lease = this.#pool.tryAcquire(run.createTargetRequest());
    if (lease !== undefined) {
      run.budget.tryTakeRetry();
      this.#meters.retries.inc({ reason: "attempt_timeout" });
    }
    return lease;
  }

  async #attempt(
    run: runs.RequestRun,
    lease: targets.TargetLease,
    attempt: races.RacingAttempt,
  ): Promise<exchanges.AttemptResult | undefined> {
    // Counted before the wait for a connection, during which no other attempt may take its place.
    run.attempts++;
    run.triedTargets.add(lease.target.id);
    const { accepted } = run.ready;
    const targetConnections = this.#connections.get(lease.target);
    const acquired = targetConnections.acquire(accepted.idempotent, attempt);
    const connection = acquired instanceof Promise ? await acquired : acquired;
    // During the wait, the attempt may have been cancelled or the deadline may have passed.
    const isLate = accepted.deadlineMilliseconds <= kernel.getMonotonicMilliseconds();
    if (connection === undefined || attempt.isCancelled || isLate) {
      if (connection !== undefined) {
        targetConnections.releaseUnused(connection);
      }
      lease.release(run.createOutcome("cancelled", 0));
      return undefined;
    }
    const mayBeHalfOpen = connection.reused &&
      !connection.isRecentlyActive(kernel.getMonotonicMilliseconds());
    attempt.begin(() => getSilenceLimit(run, mayBeHalfOpen));
    const result = await exchanges.runAttempt(
      connection.client,
      this.#createAttemptRequest(run, lease.target, attempt),
    );
    run.recordResult(result);
    const release = (last: exchanges.AttemptResult) => {
      const callResult = callResults.getCallResult(run.ready, last, attempt, connection.reused);
      lease.release(run.createOutcome(callResult, last.headMilliseconds));
      // The target may repeat its refusal where the response to the next request is due.
      const isUsable = last.connectionUsable && last.end !== "not_run_signal";
      targetConnections.release(connection, isUsable);
    };
    if (result.held?.rest === undefined) {
      release(result);
    } else {
      void result.held.rest.ended.then(release);
    }
    return result;
  }

  #createAttemptRequest(
    run: runs.RequestRun,
    target: model.Target,
    attempt: races.RacingAttempt,
  ): exchanges.AttemptRequest {
    const { accepted, body, answer } = run.ready;
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
      attempt,
      decideOnHead: (status, rawHeaders) => {
        const decision = this.#decideOnHead(run, attempt, status, rawHeaders);
        return decision === "pass" && answer.mustBeWhole(status, rawHeaders)
          ? "pass_whole"
          : decision;
      },
      onAnswer: () => {
        attempt.win();
        run.dropRest();
      },
    };
  }

  #decideOnHead(
    run: runs.RequestRun,
    attempt: races.RacingAttempt,
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
    const noRetryReason = attempt.isAlone
      ? retries.findNoRetryReasonWithBudget(run.createRetryConditions(false), run.budget)
      : undefined;
    if (noRetryReason !== undefined) {
      this.#meters.notRetried.inc({ reason: noRetryReason });
      return "pass";
    }
    return "server_error";
  }

  #handleResult(
    run: runs.RequestRun,
    result: exchanges.AttemptResult | undefined,
  ): runs.ForwardResult | "retry" | Promise<runs.ForwardResult> {
    if (result === undefined) {
      return this.#finishEnded(run);
    }
    switch (result.end) {
      case "answered":
        return run.finishAnswered();
      case "server_error":
        // The refusal is sent only if the response broke off.
        return this.#retryOrFinish(run, result.end, false, refusals.Refusals.targetReset);
      case "ended":
        return result.answerBegan
          ? this.#finishFailed(run, result, callResults.createEndRefusal(run))
          : this.#finishEnded(run);
      case "body_failed":
        return this.#finishFailed(run, result, callResults.createBodyRefusal(run, result.error));
      case "truncated":
        return result.answerBegan
          ? this.#finishFailed(run, result, run.createRefusal(refusals.Refusals.targetReset))
          : this.#retryOrFinish(run, "reset", false, refusals.Refusals.targetReset);
      case "malformed":
        return this.#retryOrFinish(run, "reset", false, refusals.Refusals.answerMalformed);
      case "unframed":
        // Not retried: other targets of the service most likely have the same framing.
        return this.#finishUnanswered(run, run.createRefusal(refusals.Refusals.answerUnframed));
      case "not_run_signal":
        return this.#retryOrFinish(run, result.end, true, refusals.Refusals.targetShed);
      case "invalid":
        return run.finish(run.createRefusal(refusals.Refusals.malformedRequest));
      case "connect_failed":
        return this.#retryOrFinish(run, result.end, true, refusals.Refusals.connectFailed);
      case "reset":
        return this.#retryOrFinish(run, result.end, false, refusals.Refusals.targetReset);
      default:
        return kernel.assertNever(result.end);
    }
  }

  #retryOrFinish(
    run: runs.RequestRun,
    reason: retries.RetryReason,
    provablyNotRun: boolean,
    row: refusals.RefusalRow,
  ): runs.ForwardResult | "retry" | Promise<runs.ForwardResult> {
    const noRetryReason = retries.takeRetry(run.createRetryConditions(provablyNotRun), run.budget);
    if (noRetryReason === undefined) {
      this.#meters.retries.inc({ reason });
      return "retry";
    }
    this.#meters.notRetried.inc({ reason: noRetryReason });
    return this.#finishUnanswered(run, run.createRefusal(row, RETRY_AFTER_MILLISECONDS));
  }

  /** Passes on a response that is held; without one, the request is refused. */
  async #finishUnanswered(
    run: runs.RequestRun,
    refusal: refusals.Refusal,
  ): Promise<runs.ForwardResult> {
    const { held, ready } = run;
    if (held === undefined) {
      return run.finish(refusal);
    }
    if (ready.running.endReason !== undefined) {
      return this.#finishEnded(run);
    }
    const { rest } = held;
    if (rest === undefined) {
      ready.answer.pass(held.answer);
      return run.finishAnswered();
    }
    const started = kernel.getMonotonicMilliseconds();
    ready.running.onEnd(() => rest.drop());
    rest.pass();
    const result = await rest.ended;
    ready.running.onEnd(undefined);
    run.recordRest(kernel.getMonotonicMilliseconds() - started);
    if (result.end === "answered") {
      return run.finishAnswered();
    }
    return this.#finishFailed(
      run,
      result,
      result.end === "ended" ? callResults.createEndRefusal(run) : refusal,
    );
  }

  /**
   * Finishes a request that was ended before a response went to the caller. At the deadline, a whole
   * response that is held takes the place of the refusal; for the rest of another, no time is left.
   */
  #finishEnded(run: runs.RequestRun): runs.ForwardResult {
    const { held, ready } = run;
    const isAtDeadline = (ready.running.endReason ?? "deadline") === "deadline";
    if (!isAtDeadline || held === undefined || held.rest !== undefined) {
      return run.finish(callResults.createEndRefusal(run));
    }
    ready.answer.pass(held.answer);
    return run.finishAnswered();
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

function isFailure({ end, answerBegan }: exchanges.AttemptResult): boolean {
  return FAILURES.has(end) || (end === "truncated" && !answerBegan);
}

/** Silence in milliseconds that calls for another attempt; undefined if none is possible. */
function getSilenceLimit(run: runs.RequestRun, mayBeHalfOpen: boolean): number | undefined {
  const conditions = run.createRetryConditions(false);
  // All running attempts and their targets already count as used.
  if (!conditions.idempotent || retries.findNoRetryReason(conditions) !== undefined) {
    return undefined;
  }
  const left = conditions.deadlineMilliseconds - kernel.getMonotonicMilliseconds();
  const share = left * SILENCE_TIME_SHARE;
  return mayBeHalfOpen ? Math.min(share, IDLE_CONNECTION_SILENCE_MILLISECONDS) : share;
}
