/**
 * Single calls to a target, without a VM: a listener for callers that reads a body and calls, and a
 * target that speaks in bytes.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as bodies from "../src/body.ts";
import * as calls from "../src/target_call.ts";
import * as connections from "../src/target_connections.ts";
import type * as types from "../src/types.ts";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Longer than what is buffered. */
export const LONG_BYTES = 400_000;

const MAX_BODY_BYTES = 40_000_000;

/** The head of a target's answer to the request of a test. */
export function createHead(status: number, headers: Readonly<Record<string, string>> = {}): string {
  const lines = Object.entries({
    [PROFILE.requestId]: "request",
    [PROFILE.signature]: "signed",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}\r\n`;
}

/** A request as the proxy has accepted it. */
export function createRequest(
  method: string | undefined,
  workspace: string | undefined,
): types.AcceptedRequest {
  const now = kernel.getMonotonicMilliseconds();
  return {
    id: "request",
    route: harness.createRoute(),
    workspace: workspace === undefined ? undefined : model.createWorkspaceId(workspace),
    service: model.createServiceId("service"),
    priority: 0,
    homes: undefined,
    arrivedAt: now,
    endsAt: now + 10_000,
    isLate: false,
    method: method ?? "GET",
    path: "/bookings/1",
    headers: ["Host", "desk.example"],
  };
}

/** What a target has received on one connection. */
export interface Arrival {
  readonly socket: net.Socket;
  text: string;
  isClosed: boolean;
}

/** A target that sees the bytes of its connections. */
export class ByteTarget {
  readonly arrivals: Arrival[] = [];
  readonly #server = net.createServer((socket) => {
    const arrival: Arrival = { socket, text: "", isClosed: false };
    this.arrivals.push(arrival);
    socket.on("data", (chunk) => {
      arrival.text += chunk.toString("latin1");
      this.onData(arrival);
    });
    socket.on("error", () => undefined);
    socket.once("close", () => arrival.isClosed = true);
  });
  /** Called after bytes have arrived. */
  onData: (arrival: Arrival) => void = () => undefined;

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  get address(): string {
    const address = this.#server.address();
    return typeof address === "object" && address !== null
      ? `127.0.0.1:${address.port}`
      : assert.fail("The target does not listen.");
  }

  stop(): void {
    this.#server.close();
    this.arrivals.forEach(({ socket }) => socket.destroy());
  }
}

/** A listener for callers whose requests each make one call to the target. */
export class CallBench {
  readonly target = new ByteTarget();
  readonly results: calls.CallResult[] = [];
  readonly connections = new connections.TargetConnections();
  readonly #server = http.createServer((request) => void this.#call(request));
  /** Changes of the calls' options. */
  changes: Partial<calls.CallOptions> = {};

  async start(): Promise<void> {
    await this.target.start();
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
  }

  stop(): void {
    this.target.stop();
    this.connections.destroy();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Begins a request of a caller. */
  begin(method: string, headers: http.OutgoingHttpHeaders = {}): http.ClientRequest {
    const address = this.#server.address();
    assert.ok(typeof address === "object" && address !== null);
    const outgoing = http.request({
      agent: false,
      host: "127.0.0.1",
      port: address.port,
      method,
      headers,
    });
    outgoing.on("error", () => undefined);
    return outgoing;
  }

  /** Sends a request without a body and returns how the call ended. */
  async run(method: string): Promise<calls.CallResult> {
    this.begin(method).end();
    return await this.waitForResult();
  }

  /** Waits for the end of the latest call, and takes its result. */
  async waitForResult(): Promise<calls.CallResult> {
    await harness.waitFor(() => this.results.length > 0, "the call ends");
    return this.results.pop() ?? assert.fail();
  }

  /** Waits until a condition holds for the first connection of the target. */
  async waitForArrivals(isReached: (first: Arrival) => boolean): Promise<readonly Arrival[]> {
    const { arrivals } = this.target;
    const isFirstReached = () => arrivals[0] !== undefined && isReached(arrivals[0]);
    await harness.waitFor(isFirstReached, "the request arrives");
    return arrivals;
  }

  async #call(request: http.IncomingMessage): Promise<void> {
    const read = await bodies.readBody(request, MAX_BODY_BYTES);
    assert.ok(read.kind === "read");
    const result = await calls.callTarget({
      request: createRequest(request.method, undefined),
      destination: {
        kind: "target",
        address: this.target.address,
        id: model.createTargetId("target"),
      },
      body: read.body,
      profile: PROFILE,
      connections: this.connections,
      connectTimeoutMilliseconds: 1_000,
      recordConnectTime: () => undefined,
      isStillAccepted: () => true,
      recordNotice: () => undefined,
      signal: new AbortController().signal,
      ...this.changes,
    });
    this.results.push(result);
  }
}

/** Runs a test with a bench of its own. */
export async function withBench(run: (bench: CallBench) => Promise<void>): Promise<void> {
  const bench = new CallBench();
  try {
    await bench.start();
    await run(bench);
  } finally {
    bench.stop();
  }
}
