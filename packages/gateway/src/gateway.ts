/**
 * The caller-facing listener: each request is checked, admitted, given a target and forwarded.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import type * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as admission from "./admission.ts";
import * as forwarding from "./forwarding.ts";
import * as refusals from "./refusals.ts";
import type * as types from "./types.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Serves callers. */
export class Gateway implements kernel.Service {
  readonly #services: kernel.Kernel;
  readonly #address: string;
  readonly #server: http.Server;
  readonly #dispatcher: undici.Agent;
  readonly #refusals;
  readonly #requests;
  #running = 0;
  #drained: (() => void) | undefined;

  /**
   * @param services Where the gateway finds the services it uses.
   * @param address IP number and port to listen on.
   */
  constructor(services: kernel.Kernel, address: string) {
    this.#services = services;
    this.#address = address;
    this.#dispatcher = new undici.Agent({
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      pipelining: 1,
    });
    const metrics = services.get(kernel.METRICS);
    this.#requests = metrics.createLatency(
      "hemlockwalk_request_seconds",
      "Time from a request's arrival to the end of its answer.",
    );
    this.#refusals = metrics.createCounter(
      "hemlockwalk_refusals_total",
      "Requests that this VM answered itself, by reason.",
      ["reason", "run"],
    );
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  /** The port that the listener is bound to. */
  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  async start(): Promise<void> {
    const queue = this.#services.get(limits.FAIR_QUEUE);
    this.#services.get(targets.TARGET_POOL).onCapacity((service) => queue.notifyCapacity(service));
    const place = kernel.getDefined(
      model.splitSocketAddress(this.#address),
      "Settings hold checked addresses.",
    );
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(place.port, place.host, resolve);
    });
  }

  async drain(): Promise<void> {
    this.#server.close();
    this.#server.closeIdleConnections();
    if (this.#running > 0) {
      await new Promise<void>((resolve) => {
        this.#drained = resolve;
      });
    }
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await this.#dispatcher.destroy();
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const started = kernel.getMonotonicMilliseconds();
    this.#running++;
    const refusal = await this.#answer(request, response);
    if (refusal !== undefined) {
      this.#refusals.inc({ reason: refusal.row.reason, run: refusal.run });
      refusals.sendRefusal(response, refusal);
    }
    this.#requests.record(kernel.getMonotonicMilliseconds() - started);
    this.#running--;
    if (this.#running === 0) {
      this.#drained?.();
    }
  }

  async #answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<refusals.Refusal | undefined> {
    const snapshot = this.#services.get(configuration.CONFIGURATION).getSnapshot();
    const accepted = admission.acceptRequest(snapshot, request);
    if (accepted.isErr()) {
      return accepted.error;
    }
    const overRate = await this.#checkRate(accepted.value);
    if (overRate !== undefined) {
      return overRate;
    }
    return this.#forward(accepted.value, request, response);
  }

  async #checkRate(accepted: types.AcceptedRequest): Promise<refusals.Refusal | undefined> {
    if (accepted.workspace === undefined) {
      return undefined;
    }
    const limiter = this.#services.get(limits.RATE_LIMITER);
    const decision = await limiter.admit(accepted.workspace, accepted.deadlineMilliseconds);
    if (decision.isOk()) {
      return undefined;
    }
    const row = decision.error.kind === "over_rate"
      ? refusals.Refusals.overRate
      : refusals.Refusals.noShare;
    return refusals.createNotRunRefusal(row, decision.error.retryAfterMilliseconds);
  }

  async #forward(
    accepted: types.AcceptedRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<refusals.Refusal | undefined> {
    const callerGone = new AbortController();
    response.once("close", () => {
      if (!response.writableFinished) {
        callerGone.abort();
      }
    });
    const lease = await this.#acquire(accepted, callerGone.signal);
    if (lease.isErr()) {
      return createQueueRefusal(lease.error);
    }
    const { outcome, refusal } = await forwarding.forwardRequest(
      this.#dispatcher,
      accepted,
      lease.value.target,
      request,
      response,
      callerGone.signal,
    );
    lease.value.release(outcome);
    return refusal;
  }

  #acquire(
    accepted: types.AcceptedRequest,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<targets.TargetLease, limits.QueueRefusal>> {
    const pool = this.#services.get(targets.TARGET_POOL);
    const targetRequest: targets.TargetRequest = {
      service: accepted.service.id,
      route: accepted.route.id,
      idempotent: accepted.idempotent,
      exclude: new Set<model.TargetId>(),
    };
    return this.#services.get(limits.FAIR_QUEUE).enter({
      service: accepted.service.id,
      workspace: accepted.workspace?.id,
      weight: (accepted.workspace?.weight ?? 1) * accepted.route.weight,
      deadlineMilliseconds: accepted.deadlineMilliseconds,
      signal,
      tryAcquire: () => pool.tryAcquire(targetRequest),
    });
  }
}

function createQueueRefusal(refusal: limits.QueueRefusal): refusals.Refusal {
  const row = refusal.kind === "queue_full"
    ? refusals.Refusals.queueFull
    : refusals.Refusals.queueTimeout;
  return refusals.createNotRunRefusal(row, refusal.retryAfterMilliseconds);
}

/** The name under which the gateway is found. */
export const GATEWAY = kernel.createServiceName<Gateway>("gateway");
