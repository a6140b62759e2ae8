/**
 * Runs an admitted request: attempt after attempt, until one is answered or none may follow.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import type * as neverthrow from "neverthrow";
import type * as undici from "undici";
import type * as answers from "./answers.ts";
import * as bodies from "./bodies.ts";
import * as connections from "./connections.ts";
import * as exchanges from "./exchange.ts";
import * as headers from "./headers.ts";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import * as retries from "./retries.ts";
import type * as running from "./running_requests.ts";
import type * as types from "./types.ts";

/** Longest wait of a retry for a slot: the request is answered soon once nothing helps. */
const RETRY_QUEUE_MILLISECONDS = 500;

/** Share of the time left within which an answer must begin where another attempt could follow. */
const ATTEMPT_SHARE = 0.5;

/** Time for an answer to begin on a connection that may have gone silent. */
const UNPROVEN_ATTEMPT_MILLISECONDS = 2_000;

/** A target is not blamed for missing a deadline that the caller set shorter than this. */
const FAIR_TARGET_MILLISECONDS = 500;

const RETRY_AFTER_MILLISECONDS = 1_000;

/** A request that is ready to run. */
export interface ReadyRequest {
  readonly accepted: types.AcceptedRequest;
  readonly request: http.IncomingMessage;
  readonly body: bodies.RequestBody;
  readonly running: running.RunningRequest;
  readonly answer: answers.CallerAnswer;
  readonly trustForwardedHeaders: boolean;
}

/** What became of a request. */
export interface ForwardResult {
  /** What the caller is told; undefined when an answer of the target began. */
  readonly refusal: refusals.Refusal | undefined;
  /** Whether the target's answer went to the caller in full. */
  readonly answered: boolean;
  /** Time that targets took, over all attempts. */
  readonly targetMilliseconds: number;
}

/** Sends requests to targets. */
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

  /** Runs a request until it is answered or given up. Never rejects. */
  async forward(ready: ReadyRequest): Promise<ForwardResult> {
    const { accepted } = ready;
    const budget = this.#budgets.get(accepted.service.id);
    budget.addRequest();
    const run = new RequestRun(ready, budget);
    for (;;) {
      const lease = await this.#enterQueue(run);
      if (lease.isErr()) {
        return run.finish(createQueueRefusal(lease.error, run));
      }
      const result = await this.#attempt(run, lease.value);
      const next = this.#judge(run, result);
      if (next !== "retry") {
        return next;
      }
    }
  }

  #enterQueue(
    run: RequestRun,
  ): Promise<neverthrow.Result<targets.TargetLease, limits.QueueRefusal>> {
    const { accepted, running: runningRequest } = run.ready;
    const targetRequest: targets.TargetRequest = {
      service: accepted.service.id,
      route: accepted.route.id,
      idempotent: accepted.idempotent,
      exclude: run.tried,
    };
    return this.#queue.enter({
      service: accepted.service.id,
      workspace: accepted.workspace?.id,
      weight: (accepted.workspace?.weight ?? 1) * accepted.route.weight,
      deadlineMilliseconds: run.attempts === 0 ? accepted.deadlineMilliseconds : Math.min(
        accepted.deadlineMilliseconds,
        kernel.getMonotonicMilliseconds() + RETRY_QUEUE_MILLISECONDS,
      ),
      get signal() {
        return runningRequest.signal;
      },
      tryAcquire: () => this.#pool.tryAcquire(targetRequest),
    });
  }

  async #attempt(
    run: RequestRun,
    lease: targets.TargetLease,
  ): Promise<exchanges.AttemptResult | undefined> {
    const { accepted, running: runningRequest } = run.ready;
    const pool = this.#connections.get(lease.target);
    const taken = pool.acquire(accepted.idempotent, runningRequest);
    const connection = taken instanceof Promise ? await taken : taken;
    // The wait may have outlasted the key or the caller; nothing may start after that.
    const isLate = accepted.deadlineMilliseconds <= kernel.getMonotonicMilliseconds();
    if (connection === undefined || runningRequest.endReason !== undefined || isLate) {
      if (connection !== undefined) {
        pool.release(connection, connection.reused);
      }
      lease.release(run.createOutcome("cancelled", 0));
      return undefined;
    }
    run.attempts++;
    run.tried.add(lease.target.id);
    const result = await exchanges.runAttempt(
      connection.client,
      this.#createAttemptRequest(run, lease.target, connection),
    );
    const callResult = getCallResult(run.ready, result, connection.reused);
    lease.release(run.createOutcome(callResult, result.headMilliseconds));
    pool.release(connection, result.connectionUsable);
    run.targetMilliseconds += result.targetMilliseconds;
    return result;
  }

  #createAttemptRequest(
    run: RequestRun,
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
      decide: (status, rawHeaders) => this.#decide(run, status, rawHeaders),
      headTimeoutMilliseconds: getHeadTimeout(run, connection, left),
    };
  }

  #decide(
    run: RequestRun,
    status: number,
    rawHeaders: readonly Buffer[],
  ): exchanges.HeadDecision {
    const { accepted } = run.ready;
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
    // The budget is taken here, since an answer that has been dropped can't be passed on later.
    const obstacle = retries.takeRetry(run.createSituation(false), run.budget);
    if (obstacle !== undefined) {
      this.#meters.notRetried.inc({ reason: obstacle });
      return "pass";
    }
    return "server_error";
  }

  #judge(
    run: RequestRun,
    result: exchanges.AttemptResult | undefined,
  ): ForwardResult | "retry" {
    if (result === undefined) {
      return run.finish(createEndRefusal(run));
    }
    const provablyNotRun = !result.sent || result.end === "not_run_signal";
    run.mayHaveRun ||= !provablyNotRun;
    switch (result.end) {
      case "answered":
        return run.finishAnswered();
      case "server_error":
        this.#meters.retries.inc({ reason: result.end });
        return "retry";
      case "ended":
        return this.#finishFailed(run, result, createEndRefusal(run));
      case "body_failed":
        return this.#finishFailed(run, result, createBodyRefusal(run, result.error));
      case "truncated":
        return this.#finishFailed(run, result, run.createRefusal(refusals.Refusals.targetReset));
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
    run: RequestRun,
    reason: retries.RetryReason,
    provablyNotRun: boolean,
    row: refusals.RefusalRow,
  ): ForwardResult | "retry" {
    const obstacle = retries.takeRetry(run.createSituation(provablyNotRun), run.budget);
    if (obstacle === undefined) {
      this.#meters.retries.inc({ reason });
      return "retry";
    }
    this.#meters.notRetried.inc({ reason: obstacle });
    return run.finish(run.createRefusal(row, RETRY_AFTER_MILLISECONDS));
  }

  #finishFailed(
    run: RequestRun,
    result: exchanges.AttemptResult,
    refusal: refusals.Refusal,
  ): ForwardResult {
    if (!result.answerBegan) {
      return run.finish(refusal);
    }
    this.#meters.cutAnswers.inc({ reason: run.ready.running.endReason ?? result.end });
    run.ready.answer.cut();
    return run.finish(undefined);
  }
}

/** What is known of a request over its attempts. */
class RequestRun {
  readonly ready: ReadyRequest;
  readonly budget: retries.RetryBudget;
  readonly tried = new Set<model.TargetId>();
  attempts = 0;
  /** Whether an attempt has ended of which it is not certain that it did not run. */
  mayHaveRun = false;
  targetMilliseconds = 0;

  constructor(ready: ReadyRequest, budget: retries.RetryBudget) {
    this.ready = ready;
    this.budget = budget;
  }

  createHeaders(leftMilliseconds: number): string[] {
    const { accepted, request, body, trustForwardedHeaders } = this.ready;
    // The first attempt is nearly always the only one, so its list is not kept for others.
    const created = headers.createForwardedHeaders(request, accepted, trustForwardedHeaders);
    created.push(headers.DEADLINE_HEADER, String(Math.max(0, Math.floor(leftMilliseconds))));
    if (!body.isComplete && accepted.head.contentLength !== undefined) {
      created.push("content-length", String(accepted.head.contentLength));
    }
    return created;
  }

  createSituation(provablyNotRun: boolean): retries.RetrySituation {
    const { accepted, body } = this.ready;
    return {
      idempotent: accepted.idempotent,
      provablyNotRun,
      bodyReplayable: body.isReplayable,
      attempts: this.attempts,
      deadlineMilliseconds: accepted.deadlineMilliseconds,
      hasOtherTarget: this.#hasOtherTarget(),
    };
  }

  createOutcome(result: targets.CallResult, latencyMilliseconds: number): targets.CallOutcome {
    return { result, latencyMilliseconds, route: this.ready.accepted.route.id };
  }

  createRefusal(row: refusals.RefusalRow, retryAfterMilliseconds?: number): refusals.Refusal {
    return { row, run: this.mayHaveRun ? "unknown" : "no", retryAfterMilliseconds };
  }

  finish(refusal: refusals.Refusal | undefined): ForwardResult {
    return { refusal, answered: false, targetMilliseconds: this.targetMilliseconds };
  }

  finishAnswered(): ForwardResult {
    return { refusal: undefined, answered: true, targetMilliseconds: this.targetMilliseconds };
  }

  #hasOtherTarget(): boolean {
    const { snapshot, service } = this.ready.accepted;
    return snapshot.listTargets(service.id).some((target) =>
      !target.leaving && !this.tried.has(target.id)
    );
  }
}

function getHeadTimeout(
  run: RequestRun,
  connection: connections.TargetConnection,
  leftMilliseconds: number,
): number | undefined {
  const situation = run.createSituation(false);
  // This attempt is already counted, but its target is not yet among the failed ones.
  if (!situation.idempotent || retries.findObstacle(situation) !== undefined) {
    return undefined;
  }
  const share = leftMilliseconds * ATTEMPT_SHARE;
  const isDoubtful = connection.reused &&
    !connection.isProven(kernel.getMonotonicMilliseconds());
  return isDoubtful ? Math.min(share, UNPROVEN_ATTEMPT_MILLISECONDS) : share;
}

/** What a call says of its target. */
function getCallResult(
  ready: ReadyRequest,
  result: exchanges.AttemptResult,
  reused: boolean,
): targets.CallResult {
  switch (result.end) {
    case "answered":
      return (result.status ?? 0) >= 500 ? "server_error" : "success";
    case "not_run_signal":
      return "shed";
    case "reset":
      // An old connection that is found closed says nothing about the target behind it.
      return reused ? "cancelled" : "reset";
    case "attempt_timeout":
      return "timeout";
    case "unframed":
      return "server_error";
    case "ended":
      return isTargetToBlame(ready, result) ? "timeout" : "cancelled";
    case "body_failed":
    case "invalid":
      return "cancelled";
    default:
      return result.end;
  }
}

function isTargetToBlame(ready: ReadyRequest, result: exchanges.AttemptResult): boolean {
  return ready.running.endReason === "deadline" && result.status === undefined &&
    result.targetMilliseconds >= FAIR_TARGET_MILLISECONDS;
}

function createQueueRefusal(refusal: limits.QueueRefusal, run: RequestRun): refusals.Refusal {
  if (refusal.kind === "cancelled") {
    return createEndRefusal(run);
  }
  const row = refusal.kind === "queue_full"
    ? refusals.Refusals.queueFull
    : refusals.Refusals.queueTimeout;
  return run.createRefusal(row, refusal.retryAfterMilliseconds);
}

/** What the caller is told when its request was ended from outside. */
function createEndRefusal(run: RequestRun): refusals.Refusal {
  const row = run.ready.running.endReason === "key_withdrawn"
    ? refusals.Refusals.keyWithdrawn
    : refusals.Refusals.deadlineExceeded;
  return run.createRefusal(row);
}

function createBodyRefusal(run: RequestRun, error: Error | undefined): refusals.Refusal {
  const row = error instanceof bodies.BodyError
    ? error.refusal
    : refusals.Refusals.malformedRequest;
  return run.createRefusal(row);
}
