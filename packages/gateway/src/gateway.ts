/**
 * The caller-facing side of a VM: each request is checked, admitted, given a target and forwarded.
 */

import type * as http from "node:http";
import * as claims from "@hemlockwalk/claims";
import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import * as admission from "./admission.ts";
import * as answers from "./answers.ts";
import * as bodies from "./bodies.ts";
import * as connections from "./connections.ts";
import * as forwarding from "./forwarding.ts";
import * as idempotency from "./idempotency.ts";
import * as listeners from "./listener.ts";
import * as meters from "./meters.ts";
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

/** Serves callers. */
export class Gateway implements kernel.Service {
  readonly #services: kernel.Kernel;
  readonly #settings: model.ListenerSettings;
  readonly #logger: kernel.PartLogger;
  readonly #meters: meters.GatewayMeters;
  readonly #running = new running.RunningRequests();
  readonly #bodyMemory = new bodies.BodyMemory();
  readonly #listener: listeners.Listener;
  #connections: connections.ConnectionTable | undefined;
  #forwarder: forwarding.Forwarder | undefined;
  #closing = false;

  /**
   * @param services Where the gateway finds the services it uses.
   * @param settings The listener's part of the settings.
   * @throws {tlsFiles.TlsStartError} When the TLS files cannot be used.
   */
  constructor(
    services: kernel.Kernel,
    settings: model.ListenerSettings,
    logger: kernel.PartLogger,
  ) {
    this.#services = services;
    this.#settings = settings;
    this.#logger = logger;
    const metrics = services.get(kernel.METRICS);
    this.#meters = new meters.GatewayMeters(metrics);
    metrics.createGauge(
      "hemlockwalk_running_requests",
      "Requests whose answer is not complete.",
      () => this.#running.count,
    );
    metrics.createGauge(
      "hemlockwalk_open_target_connections",
      "Connections that this VM holds open to targets.",
      () => this.#connections?.size ?? 0,
    );
    this.#listener = new listeners.Listener(
      settings,
      (request, response, wantsContinue) => {
        void this.#serve(request, response, wantsContinue);
      },
      this.#running,
      this.#meters,
      logger,
    );
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return this.#listener.port;
  }

  async start(): Promise<void> {
    const pool = this.#services.get(targets.TARGET_POOL);
    const queue = this.#services.get(limits.FAIR_QUEUE);
    pool.onCapacity((service) => queue.notifyCapacity(service));
    const table = new connections.ConnectionTable(
      pool,
      (event) => this.#meters.countConnection(event),
    );
    this.#connections = table;
    this.#forwarder = new forwarding.Forwarder(pool, queue, table, this.#meters);
    this.#services.get(configuration.CONFIGURATION).onChange((change) => {
      this.#withdrawKeys(change.withdrawnKeys);
      table.retain(change.current);
    });
    await this.#listener.start();
  }

  /**
   * Serves on while the balancer still sends requests here, with answers that end their connections,
   * and then until the last answer is complete.
   */
  async drain(): Promise<void> {
    this.#closing = true;
    await kernel.sleep(this.#settings.drainLagMilliseconds);
    await this.#listener.close();
  }

  stop(): void {
    this.#listener.stop();
    this.#connections?.close();
  }

  #withdrawKeys(digests: readonly model.KeyDigest[]): void {
    let ended = 0;
    for (const digest of digests) {
      ended += this.#running.withdraw(digest);
    }
    if (ended > 0) {
      this.#meters.withdrawnRequests.inc(ended);
      this.#logger.info("Requests of withdrawn keys were ended.", { ended });
    }
  }

  async #serve(
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
    this.#running.openAnswer(socket, response);
    response.on("close", () => {
      if (!response.writableFinished) {
        call.running?.end("caller_gone");
      }
      this.#running.closeAnswer(socket, response);
    });
    // The caller's connection may break at any moment; its `close` event tells so too.
    response.on("error", ignoreError);
    const refusal = await this.#answer(call).catch((error: unknown) => this.#fail(call, error));
    if (refusal !== undefined && !response.destroyed) {
      this.#meters.refusals.inc({ reason: refusal.row.reason, run: refusal.run });
      refusals.sendRefusal(response, refusal, this.#endsConnection(call, refusal));
    }
    if (!request.complete) {
      dropRest(request);
    }
    const elapsed = kernel.getMonotonicMilliseconds() - started;
    this.#meters.total.record(elapsed);
    this.#meters.added.record(elapsed - call.targetMilliseconds - call.callerMilliseconds);
  }

  /** A fault of this program ends one request, not the VM. */
  #fail(call: Call, error: unknown): refusals.Refusal | undefined {
    this.#logger.error("A request failed inside the gateway.", {
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
      this.#running.add(runningRequest, accepted.keyDigest, call.request.socket);
    }
    const body = new bodies.RequestBody(
      call.request,
      accepted,
      this.#bodyMemory,
      this.#settings.bodyIdleTimeoutMilliseconds,
    );
    try {
      return await this.#run(call, accepted, runningRequest, body);
    } finally {
      body.release();
      runningRequest.finish();
      if (accepted.keyDigest !== undefined) {
        this.#running.remove(runningRequest, accepted.keyDigest);
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
      trustForwardedHeaders: this.#settings.trustForwardedHeaders,
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
    const forwarder = kernel.getDefined(this.#forwarder, "The gateway serves after its start.");
    const result = await forwarder.forward(ready);
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
      this.#meters,
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

/** The name under which the gateway is found. */
export const GATEWAY = kernel.createServiceName<Gateway>("gateway");
