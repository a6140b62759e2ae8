/**
 * One call of a caller: each request is checked, admitted, given a target and forwarded.
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

/** A caller that goes on to send more than this after its answer is cut off. */
const MAXIMUM_REST_BYTES = 10 * 1_024 * 1_024;

/** An unread rest of a request up to this size is read and dropped, to keep the connection. */
const MAXIMUM_DROPPED_BYTES = 64 * 1_024;

/** One request and everything that belongs to it on the way. */
interface Call {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly wantsContinue: boolean;
  /** Undefined until the request is accepted. */
  running: running.RunningRequest | undefined;
  /** Time that passed only since the caller's body was not there yet. */
  callerMilliseconds: number;
  targetMilliseconds: number;
}

/** What calls have in common. */
export interface CallHandlerParts {
  readonly forwarder: forwarding.Forwarder;
  readonly running: running.RunningRequests;
  readonly meters: meters.GatewayMeters;
  readonly settings: model.ListenerSettings;
  readonly logger: kernel.PartLogger;
}

/** Serves the requests of callers. */
export class CallHandler {
  readonly #services: kernel.Kernel;
  readonly #parts: CallHandlerParts;
  readonly #bodyMemory = new bodies.BodyMemory();
  #closing = false;

  constructor(services: kernel.Kernel, parts: CallHandlerParts) {
    this.#services = services;
    this.#parts = parts;
  }

  /** From now on each answer ends its connection. */
  announceStop(): void {
    this.#closing = true;
  }

  /** Serves one request until its answer has ended. Never rejects. */
  async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    wantsContinue: boolean,
  ): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    const { socket } = request;
    const call: Call = {
      request,
      response,
      wantsContinue,
      running: undefined,
      callerMilliseconds: 0,
      targetMilliseconds: 0,
    };
    this.#parts.running.openAnswer(socket, response);
    response.on("close", () => {
      if (!response.writableFinished) {
        call.running?.end("caller_gone");
      }
      this.#parts.running.closeAnswer(socket, response);
    });
    // The caller's connection may break at any moment; its `close` event tells so too.
    response.on("error", ignoreError);
    const refusal = await this.#answer(call).catch((error: unknown) => this.#fail(call, error));
    if (refusal !== undefined && !response.destroyed) {
      this.#parts.meters.refusals.inc({ reason: refusal.row.reason, run: refusal.run });
      refusals.sendRefusal(response, refusal, this.#endsConnection(call, refusal));
    }
    if (!request.complete) {
      dropRest(request);
    }
    const elapsed = kernel.getMonotonicMilliseconds() - started;
    this.#parts.meters.total.record(elapsed);
    this.#parts.meters.added.record(elapsed - call.targetMilliseconds - call.callerMilliseconds);
  }

  /** A fault of this program ends one request, not the VM. */
  #fail(call: Call, error: unknown): refusals.Refusal | undefined {
    this.#parts.logger.error("A request failed inside the gateway.", {
      detail: error instanceof Error ? error.stack : String(error),
    });
    if (!call.response.headersSent) {
      return refusals.createUnknownRefusal(refusals.Refusals.internalError);
    }
    call.response.destroy();
    return undefined;
  }

  #endsConnection(call: Call, refusal: refusals.Refusal): boolean {
    if (this.#closing || refusal.row === refusals.Refusals.keyWithdrawn) {
      return true;
    }
    if (call.request.complete) {
      return false;
    }
    const length = call.request.headers["content-length"];
    return call.wantsContinue || length === undefined || Number(length) > MAXIMUM_DROPPED_BYTES;
  }

  async #answer(call: Call): Promise<refusals.Refusal | undefined> {
    const snapshot = this.#services.get(configuration.CONFIGURATION).getSnapshot();
    const checked = admission.acceptRequest(snapshot, call.request);
    if (checked.isErr()) {
      return checked.error;
    }
    const accepted = checked.value;
    const runningRequest = new running.RunningRequest(
      accepted.deadlineMilliseconds - kernel.getMonotonicMilliseconds(),
    );
    call.running = runningRequest;
    if (accepted.keyDigest !== undefined) {
      this.#parts.running.add(runningRequest, accepted.keyDigest, call.request.socket);
    }
    const body = new bodies.RequestBody(
      call.request,
      accepted,
      this.#bodyMemory,
      this.#parts.settings.bodyIdleTimeoutMilliseconds,
    );
    try {
      return await this.#run(call, accepted, runningRequest, body);
    } finally {
      body.release();
      runningRequest.finish();
      if (accepted.keyDigest !== undefined) {
        this.#parts.running.remove(runningRequest, accepted.keyDigest);
      }
    }
  }

  async #run(
    call: Call,
    accepted: types.AcceptedRequest,
    runningRequest: running.RunningRequest,
    body: bodies.RequestBody,
  ): Promise<refusals.Refusal | undefined> {
    const failed = body.isComplete ? undefined : await bufferBody(call, body, runningRequest);
    if (failed !== undefined) {
      return runningRequest.endReason === undefined ? failed : createEndRefusal(runningRequest);
    }
    // A token is taken after the body is there, so that slow bodies can't run all at once later.
    const decision = this.#checkRate(accepted);
    const overRate = decision instanceof Promise ? await decision : decision;
    if (overRate !== undefined) {
      return overRate;
    }
    if (runningRequest.endReason !== undefined) {
      return createEndRefusal(runningRequest);
    }
    const answer = new answers.CallerAnswer(call.response, () => this.#closing);
    const idempotencyKey = idempotency.findIdempotencyKey(call.request, accepted);
    const store = this.#services.find(claims.CLAIM_STORE);
    const ready: runs.ReadyRequest = {
      accepted,
      request: call.request,
      body,
      running: runningRequest,
      answer,
      trustForwardedHeaders: this.#parts.settings.trustForwardedHeaders,
    };
    return idempotencyKey === undefined || store === undefined
      ? (await this.#forward(call, ready)).refusal
      : this.#forwardClaimed(call, ready, store, idempotencyKey);
  }

  #checkRate(
    accepted: types.AcceptedRequest,
  ): refusals.Refusal | undefined | Promise<refusals.Refusal | undefined> {
    if (accepted.workspace === undefined) {
      return undefined;
    }
    const limiter = this.#services.get(limits.RATE_LIMITER);
    const decision = limiter.admit(accepted.workspace, accepted.deadlineMilliseconds);
    // Most decisions are there at once; a promise for each would cost more than the decision.
    return decision instanceof Promise
      ? decision.then(createRateRefusal)
      : createRateRefusal(decision);
  }

  async #forward(
    call: Call,
    ready: runs.ReadyRequest,
  ): Promise<runs.ForwardResult> {
    const result = await this.#parts.forwarder.forward(ready);
    call.targetMilliseconds = result.targetMilliseconds;
    return result;
  }

  async #forwardClaimed(
    call: Call,
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
      // The key may have been withdrawn while the fleet was asked.
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
      const result = await this.#forward(call, ready);
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
  call: Call,
  body: bodies.RequestBody,
  runningRequest: running.RunningRequest,
): Promise<refusals.Refusal | undefined> {
  if (call.wantsContinue) {
    call.response.writeContinue();
  }
  const started = kernel.getMonotonicMilliseconds();
  const buffered = await body.buffer(runningRequest);
  call.callerMilliseconds = kernel.getMonotonicMilliseconds() - started;
  return buffered.isErr() ? buffered.error : undefined;
}

/** What the caller of a request is told that was ended before it was sent anywhere. */
function createEndRefusal(runningRequest: running.RunningRequest): refusals.Refusal {
  return refusals.createNotRunRefusal(
    runningRequest.endReason === "key_withdrawn"
      ? refusals.Refusals.keyWithdrawn
      : refusals.Refusals.deadlineExceeded,
  );
}

/** What the caller still sends must not keep its connection from the next request. */
function dropRest(request: http.IncomingMessage): void {
  let dropped = 0;
  request.on("data", (chunk: Buffer) => {
    dropped += chunk.length;
    if (dropped > MAXIMUM_REST_BYTES) {
      request.socket.destroy();
    }
  });
  request.resume();
}

function ignoreError(): void {
  // See where the listener is added.
}
