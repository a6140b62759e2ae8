/**
 * An emulated target with slots, a random service time, load shedding, network delay, and the
 * faults of a scenario. It reports each run of each request to an observer.
 */

import * as http from "node:http";
import type * as net from "node:net";
import type * as random from "../random.ts";
import type * as types from "../types.ts";

/** Header that carries the identifier of a request. */
export const REQUEST_ID_HEADER = "measure-request";

/** Header and value by which a target signals that it did not run a request. */
export const NOT_RUN_HEADER = "target-not-run";
export const NOT_RUN_VALUE = "shed";

/** Maximum length of the target's request queue, as a multiple of its slots. */
const QUEUE_FACTOR = 2;

const SERVICE_TIME_SIGMA = 0.35;

const BODY_BYTES = 512;

/** Records what reaches the targets of a host. */
export interface TargetObserver {
  /** Called when a request, or a connection that is closed immediately, has reached a target. */
  recordAttempt(target: string): void;
  /** Called when a target starts to run the request with the given identifier. */
  recordRun(target: string, id: number): void;
}

/** One target on loopback. */
export class EmulatedTarget {
  readonly id: string;
  readonly #slots: number;
  readonly #serviceTimeMilliseconds: number;
  readonly #delayMilliseconds: number;
  readonly #random: random.RandomStream;
  readonly #observer: TargetObserver;
  readonly #waiting: (() => void)[] = [];
  readonly #silentSockets = new WeakSet<net.Socket>();
  readonly #sockets = new Set<net.Socket>();
  readonly #server = http.createServer((request, response) => this.#answer(request, response));
  #running = 0;
  #fault: types.TargetFault | undefined;
  #faultStart = 0;

  constructor(
    id: string,
    service: types.ServicePlan,
    deployment: types.DeploymentPlan,
    randomStream: random.RandomStream,
    observer: TargetObserver,
  ) {
    this.id = id;
    this.#slots = service.slots;
    this.#serviceTimeMilliseconds = deployment.serviceTimeMilliseconds;
    this.#delayMilliseconds = deployment.dataCentreDelayMilliseconds;
    this.#random = randomStream;
    this.#observer = observer;
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket: net.Socket) => this.#accept(socket));
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  /** Starts a fault, or ends the current one if the argument is undefined. */
  setFault(fault: types.TargetFault | undefined): void {
    this.#fault = fault;
    this.#faultStart = performance.now();
    if (fault?.kind === "silent_connections") {
      for (const socket of this.#sockets) {
        this.#silentSockets.add(socket);
      }
    }
    if (fault?.kind === "reset") {
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    }
  }

  #accept(socket: net.Socket): void {
    if (this.#fault?.kind === "reset") {
      this.#observer.recordAttempt(this.id);
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
  }

  #answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    this.#observer.recordAttempt(this.id);
    if (this.#fault?.kind === "hang" || this.#silentSockets.has(request.socket)) {
      return;
    }
    if (this.#running < this.#slots) {
      this.#run(request, response);
      return;
    }
    if (this.#waiting.length >= this.#slots * QUEUE_FACTOR) {
      response.writeHead(503, { [NOT_RUN_HEADER]: NOT_RUN_VALUE });
      response.end();
      return;
    }
    this.#waiting.push(() => this.#run(request, response));
  }

  #run(request: http.IncomingMessage, response: http.ServerResponse): void {
    const id = Number(request.headers[REQUEST_ID_HEADER]);
    this.#running++;
    this.#observer.recordRun(this.id, id);
    const slowdownFactor = this.#fault?.kind === "slow" ? this.#fault.factor : 1;
    const serviceTime = slowdownFactor *
      this.#random.nextLogNormal(this.#serviceTimeMilliseconds, SERVICE_TIME_SIGMA);
    setTimeout(() => {
      this.#running--;
      this.#waiting.shift()?.();
      this.#respond(id, response);
    }, serviceTime + 2 * this.#delayMilliseconds);
  }

  #respond(id: number, response: http.ServerResponse): void {
    const body = `${id} `.padEnd(BODY_BYTES, ".");
    if (this.#shouldFail()) {
      response.writeHead(500);
      response.end("error");
      return;
    }
    response.writeHead(200, { "content-length": BODY_BYTES });
    if (this.#fault?.kind === "truncate") {
      response.write(body.slice(0, BODY_BYTES / 2), () => response.destroy());
      return;
    }
    response.end(body);
  }

  #shouldFail(): boolean {
    const fault = this.#fault;
    if (fault?.kind === "errors") {
      return this.#random.nextUniform() < fault.share;
    }
    if (fault?.kind === "flapping") {
      const elapsed = performance.now() - this.#faultStart;
      return elapsed % fault.periodMilliseconds < fault.periodMilliseconds / 2;
    }
    return false;
  }
}
