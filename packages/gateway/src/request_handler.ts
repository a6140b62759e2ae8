/**
 * Handles callers' requests: validates and admits each one, then forwards it to a target.
 */

import type * as http from "node:http";
import * as claims from "@hemlockwalk/claims";
import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import * as admission from "./admission.ts";
import * as answers from "./answers.ts";
import * as bodies from "./bodies.ts";
import type * as forwarding from "./forwarding.ts";
import * as idempotency from "./idempotency.ts";
import type * as meters from "./meters.ts";
import * as refusals from "./refusals.ts";
import type * as runs from "./request_run.ts";
import * as running from "./running_requests.ts";
import type * as types from "./types.ts";

/**
 * A caller that sends more of its body than this after the response is disconnected, once the earlier
 * requests on its connection have been answered.
 */
const MAXIMUM_DISCARDED_BODY_BYTES = 10 * 1_024 * 1_024;

/** The unread rest of a body up to this size is discarded, so that the connection can be reused. */
const MAXIMUM_KEEP_ALIVE_BODY_BYTES = 64 * 1_024;

/** The state of one request. */
interface RequestContext {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly wantsContinue: boolean;
  /** Undefined until the request is accepted. */
  running: running.RunningRequest | undefined;
  /** Time spent waiting for the caller's body. */
  bodyWaitMilliseconds: number;
  targetMilliseconds: number;
}

/** The parts that all requests share. */
export interface RequestHandlerParts {
  readonly forwarder: forwarding.Forwarder;
  readonly running: running.RunningRequests;
  readonly meters: meters.GatewayMeters;
  readonly settings: model.ListenerSettings;
  readonly logger: kernel.ComponentLogger;
}

/** Handles callers' requests. */
export class RequestHandler {
  readonly #services: kernel.Kernel;
  readonly #parts: RequestHandlerParts;
  readonly #bodyMemory = new bodies.BodyMemory();
  #closing = false;

  constructor(services: kernel.Kernel, parts: RequestHandlerParts) {
    this.#services = services;
    this.#parts = parts;
  }

  /** Makes each response close its connection from now on. */
  startClosing(): void {
    this.#closing = true;
  }

  /** Handles one request until its response has ended. Never rejects. */
  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    wantsContinue: boolean,
  ): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    const context: RequestContext = {
      request,
      response,
      wantsContinue,
      running: undefined,
      bodyWaitMilliseconds: 0,
      targetMilliseconds: 0,
    };
    this.#parts.running.trackAnswer(request.socket, response, () => {
      if (!response.writableFinished) {
        context.running?.end("caller_gone");
      }
    });
    // The caller's connection may fail at any time, which the `close` event also reports.
    response.on("error", ignoreError);
    const refusal = await this.#validateAndRun(context).catch((error: unknown) =>
      this.#handleInternalError(context, error)
    );
    if (context.running?.endReason === "caller_gone") {
      this.#parts.meters.cancelledRequests.inc();
    } else if (refusal !== undefined && !response.destroyed) {
      this.#parts.meters.refusals.inc({ reason: refusal.row.reason, run: refusal.run });
      refusals.sendRefusal(response, refusal, this.#endsConnection(context, refusal));
    }
    if (!request.complete) {
      discardBody(request, () => this.#parts.running.destroyAfterEarlier(response));
    }
    const elapsed = kernel.getMonotonicMilliseconds() - started;
    this.#parts.meters.total.record(elapsed);
    this.#parts.meters.added.record(
      elapsed - context.targetMilliseconds - context.bodyWaitMilliseconds,
    );
  }

  /** An unexpected error ends only the request, not the process. */
  #handleInternalError(context: RequestContext, error: unknown): refusals.Refusal | undefined {
    this.#parts.logger.error("Internal error while handling a request.", {
      detail: error instanceof Error ? error.stack : String(error),
    });
    if (!context.response.headersSent) {
      return refusals.createUnknownRefusal(refusals.Refusals.internalError);
    }
    context.response.destroy();
    return undefined;
  }

  #endsConnection(context: RequestContext, refusal: refusals.Refusal): boolean {
    if (this.#closing || refusal.row === refusals.Refusals.keyWithdrawn) {
      return true;
    }
    if (context.request.complete) {
      return false;
    }
    const length = context.request.headers["content-length"];
    return context.wantsContinue || length === undefined ||
      Number(length) > MAXIMUM_KEEP_ALIVE_BODY_BYTES;
  }

  async #validateAndRun(context: RequestContext): Promise<refusals.Refusal | undefined> {
    const snapshot = this.#services.get(configuration.CONFIGURATION).getSnapshot();
    const checked = admission.acceptRequest(snapshot, context.request);
    if (checked.isErr()) {
      return checked.error;
    }
    const accepted = checked.value;
    const runningRequest = new running.RunningRequest(
      accepted.deadlineMilliseconds - kernel.getMonotonicMilliseconds(),
    );
    context.running = runningRequest;
    if (accepted.keyDigest !== undefined) {
      this.#parts.running.add(runningRequest, accepted.keyDigest, context.request.socket);
    }
    const body = new bodies.RequestBody(
      context.request,
      accepted,
      this.#bodyMemory,
      this.#parts.settings.bodyIdleTimeoutMilliseconds,
    );
    try {
      return await this.#admitAndForward(context, accepted, runningRequest, body);
    } finally {
      body.release();
      runningRequest.finish();
      if (accepted.keyDigest !== undefined) {
        this.#parts.running.remove(runningRequest, accepted.keyDigest);
      }
    }
  }

  async #admitAndForward(
    context: RequestContext,
    accepted: types.AcceptedRequest,
    runningRequest: running.RunningRequest,
    body: bodies.RequestBody,
  ): Promise<refusals.Refusal | undefined> {
    const failed = body.isComplete ? undefined : await bufferBody(context, body, runningRequest);
    if (failed !== undefined) {
      return runningRequest.endReason === undefined ? failed : createEndRefusal(runningRequest);
    }
    // Tokens are taken only after the body is buffered. Otherwise, admitted requests could collect
    // behind slow bodies and then run in a burst.
    const decision = this.#checkRate(accepted);
    const overRate = decision instanceof Promise ? await decision : decision;
    if (overRate !== undefined) {
      return overRate;
    }
    if (runningRequest.endReason !== undefined) {
      return createEndRefusal(runningRequest);
    }
    const answer = new answers.CallerAnswer(context.response, () => this.#closing);
    const idempotencyKey = idempotency.findIdempotencyKey(context.request, accepted);
    const store = this.#services.find(claims.CLAIM_STORE);
    const ready: runs.ReadyRequest = {
      accepted,
      request: context.request,
      body,
      running: runningRequest,
      answer,
      trustForwardedHeaders: this.#parts.settings.trustForwardedHeaders,
    };
    return idempotencyKey === undefined || store === undefined
      ? (await this.#forward(context, ready)).refusal
      : this.#forwardClaimed(context, ready, store, idempotencyKey);
  }

  #checkRate(
    accepted: types.AcceptedRequest,
  ): refusals.Refusal | undefined | Promise<refusals.Refusal | undefined> {
    if (accepted.workspace === undefined) {
      return undefined;
    }
    const limiter = this.#services.get(limits.RATE_LIMITER);
    const decision = limiter.admit(accepted.workspace, accepted.deadlineMilliseconds);
    // Most decisions are synchronous, and a promise would cost more than the decision itself.
    return decision instanceof Promise
      ? decision.then(createRateRefusal)
      : createRateRefusal(decision);
  }

  async #forward(
    context: RequestContext,
    ready: runs.ReadyRequest,
  ): Promise<runs.ForwardResult> {
    const result = await this.#parts.forwarder.forward(ready);
    context.targetMilliseconds = result.targetMilliseconds;
    return result;
  }

  async #forwardClaimed(
    context: RequestContext,
    ready: runs.ReadyRequest,
    store: claims.ClaimStore,
    idempotencyKey: string,
  ): Promise<refusals.Refusal | undefined> {
    const claimed = await idempotency.claimRequest(
      store,
      idempotencyKey,
      ready.accepted,
      ready.body,
      this.#parts.meters,
    );
    if (claimed.isErr()) {
      return claimed.error;
    }
    if (claimed.value.kind === "replay") {
      // The key may have been withdrawn while the claim was being decided.
      if (ready.running.endReason !== undefined) {
        return createEndRefusal(ready.running);
      }
      ready.answer.replay(claimed.value.answer);
      return undefined;
    }
    const { claim } = claimed.value;
    if (ready.running.endReason !== undefined) {
      claim.abandon();
      return createEndRefusal(ready.running);
    }
    ready.answer.record();
    try {
      const result = await this.#forward(context, ready);
      idempotency.settleClaim(claim, result, ready.answer);
      return result.refusal;
    } catch (error) {
      claim.fail();
      throw error;
    }
  }
}

function createRateRefusal(decision: limits.RateDecision): refusals.Refusal | undefined {
  if (decision.isOk()) {
    return undefined;
  }
  const row = decision.error.kind === "over_rate"
    ? refusals.Refusals.overRate
    : refusals.Refusals.noShare;
  return refusals.createNotRunRefusal(row, decision.error.retryAfterMilliseconds);
}

async function bufferBody(
  context: RequestContext,
  body: bodies.RequestBody,
  runningRequest: running.RunningRequest,
): Promise<refusals.Refusal | undefined> {
  if (context.wantsContinue) {
    context.response.writeContinue();
  }
  const started = kernel.getMonotonicMilliseconds();
  const buffered = await body.buffer(runningRequest);
  context.bodyWaitMilliseconds = kernel.getMonotonicMilliseconds() - started;
  return buffered.isErr() ? buffered.error : undefined;
}

/** The refusal of a request that was ended before it was sent to a target. */
function createEndRefusal(runningRequest: running.RunningRequest): refusals.Refusal {
  return refusals.createNotRunRefusal(
    runningRequest.endReason === "key_withdrawn"
      ? refusals.Refusals.keyWithdrawn
      : refusals.Refusals.deadlineExceeded,
  );
}

/**
 * Discards the rest of the body, so that the connection can carry the caller's next request.
 *
 * @param onTooLong Called once if the rest is too long, and is not read any further.
 */
function discardBody(request: http.IncomingMessage, onTooLong: () => void): void {
  let dropped = 0;
  const onData = (chunk: Buffer) => {
    dropped += chunk.length;
    if (dropped > MAXIMUM_DISCARDED_BODY_BYTES) {
      request.off("data", onData);
      request.pause();
      onTooLong();
    }
  };
  request.on("data", onData);
  request.resume();
}

function ignoreError(): void {
  // The `close` event reports the failure.
}
