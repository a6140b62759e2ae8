/**
 * A complete VM with targets and a store in one process, for tests of the request path.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import type * as placement from "@hemlockwalk/placement";
import * as proxy from "@hemlockwalk/proxy";
import * as neverthrow from "neverthrow";

export const PROFILE: proxy.HeaderProfile = {
  requestId: "x-request",
  deadline: "x-deadline",
  expectedTarget: "x-expected-target",
  workspace: "x-workspace",
  notRun: "x-not-run",
  signature: "x-signature",
  leaving: "x-leaving",
  rateLimit: "x-rate-limit",
  keyScheme: "Bearer",
};

export const BOUNDS: proxy.ProxyBounds = {
  retryRatio: 0.2,
  retrySlack: 50,
  rateWindowSeconds: 5,
  rateExcess: 0.25,
  rateSlack: 20,
  graceMilliseconds: 5_000,
};

/** Longest time until a change is in force. */
const MAX_PROPAGATION_MILLISECONDS = 5_000;

/** How a target responds. */
export type Behaviour = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  body: string,
) => void;

/** Responds as a healthy target does. */
export function answerSuccess(request: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(200, createAnswerHeaders(request));
  response.end("done");
}

export function createAnswerHeaders(request: http.IncomingMessage): http.OutgoingHttpHeaders {
  return {
    [PROFILE.requestId]: request.headers[PROFILE.requestId],
    [PROFILE.signature]: "signed",
  };
}

/** A target that records the requests it receives. */
export class TestTarget {
  readonly id: model.TargetId;
  readonly requests: http.IncomingMessage[] = [];
  readonly #server: http.Server;
  readonly #sockets = new Set<net.Socket>();
  behaviour: Behaviour = answerSuccess;
  /** Responds before the body has been read. */
  earlyBehaviour: Behaviour | undefined;
  /** Addresses whose requests are lost on the way. */
  readonly silentTo = new Set<string>();

  constructor(id: string) {
    this.id = model.createTargetId(id);
    this.#server = http.createServer((request, response) => {
      if (this.earlyBehaviour !== undefined) {
        this.requests.push(request);
        this.earlyBehaviour(request, response, "");
        return;
      }
      let body = "";
      request.on("data", (chunk: Buffer) => body += chunk.toString());
      request.on("end", () => {
        if (this.silentTo.has(request.socket.remoteAddress ?? "")) {
          return;
        }
        this.requests.push(request);
        this.behaviour(request, response, body);
      });
    });
    this.#server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
  }

  /** Resets the open connections from an address. */
  resetConnections(host: string): void {
    for (const socket of this.#sockets) {
      if (socket.remoteAddress === host) {
        socket.resetAndDestroy();
      }
    }
  }

  get isListening(): boolean {
    return this.#server.listening;
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : assert.fail();
  }

  async start(): Promise<void> {
    // An outgoing connection may take a port that the system assigned while the target is down.
    await this.restart(await kernelTesting.claimPort());
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Ends like a process that crashes: resets all connections and refuses new ones. */
  crash(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  /** Listens again at an address that it had before. */
  async restart(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  createChange(
    revision: number,
    changes: Partial<declarations.TargetEntry> = {},
  ): declarations.TargetChange {
    const address = `127.0.0.1:${this.port}`;
    return fixtures.createChange(this.id, revision, { address, ...changes });
  }
}

/** An in-memory store. */
export class MemoryStore implements declarations.PublishedStore {
  era = 0;
  revision = 1;
  declared: declarations.Declarations | undefined;
  targets = new Map<model.TargetId, declarations.TargetChange>();
  evacuations = new Map<model.DataCentreId, declarations.EvacuationChange>();
  isAvailable = true;

  /** Writes a change at the latest revision, or at its own if that is later. */
  put(change: declarations.TargetChange): void {
    this.revision = Math.max(this.revision + 1, change.position.revision);
    this.targets.set(change.id, change);
  }

  /** Orders the evacuation of a data centre, or withdraws the order. */
  evacuate(name: string, isEvacuated = true): void {
    this.revision++;
    const dataCentre = model.createDataCentreId(name);
    const position = fixtures.createPosition(this.revision);
    this.evacuations.set(dataCentre, { dataCentre, position, isEvacuated });
  }

  /** Restores a backup: the given targets, at an earlier revision. */
  restore(targets: ReadonlyMap<model.TargetId, declarations.TargetChange>, revision: number): void {
    this.era++;
    this.revision = revision;
    this.targets = new Map(targets);
    this.evacuations.clear();
  }

  read(): Promise<neverthrow.Result<declarations.StoreUpdate, declarations.StoreFailure>> {
    return this.#answer(true);
  }

  #answer(
    isWhole: boolean,
  ): Promise<neverthrow.Result<declarations.StoreUpdate, declarations.StoreFailure>> {
    if (!this.isAvailable) {
      return Promise.resolve(neverthrow.err("unavailable"));
    }
    return Promise.resolve(neverthrow.ok({
      asOf: fixtures.createPosition(this.revision, this.era),
      declarations: this.declared,
      changes: [...this.targets.values()].map((change) => ({
        ...change,
        position: fixtures.createPosition(change.position.revision, this.era),
      })),
      evacuations: [...this.evacuations.values()]
        .filter(({ isEvacuated }) => isEvacuated || !isWhole)
        .map((change) => ({
          ...change,
          position: fixtures.createPosition(change.position.revision, this.era),
        })),
    }));
  }

  async watch(
    after: declarations.StorePosition,
    waitMilliseconds: number,
  ): Promise<neverthrow.Result<declarations.StoreUpdate, declarations.StoreFailure>> {
    const endsAt = performance.now() + waitMilliseconds;
    while (
      this.isAvailable && this.era === after.era && this.revision <= after.revision &&
      performance.now() < endsAt
    ) {
      await kernel.sleep(10);
    }
    return await this.#answer(false);
  }
}

export function createRoute(
  changes: Partial<declarations.DeclaredRoute> = {},
): declarations.DeclaredRoute {
  return fixtures.createRoute({ timeoutMilliseconds: 1_000, ...changes });
}

const READS = createRoute({
  id: model.createRouteId("reads"),
  pathPrefix: "/reads/",
  isIdempotent: true,
});

export function createDeclarations(
  version: number,
  changes: Partial<declarations.Declarations> = {},
): declarations.Declarations {
  return fixtures.createDeclarations(version, {
    limits: {
      headerBytes: 4_096,
      bodyBytes: 100_000,
      headerMilliseconds: 3_000,
      idleMilliseconds: 15_000,
    },
    routes: [createRoute(), READS],
    services: [],
    workspaces: [{
      id: model.createWorkspaceId("city"),
      keys: ["secret"],
      priority: undefined,
      ratePerSecond: undefined,
      burst: 0,
    }],
    ...changes,
  });
}

/** A response as a caller sees it. */
export interface CallerAnswer {
  /** 0 if the connection ended without a response. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response was framed and complete. */
  readonly isComplete: boolean;
}

/** A request as a caller sends it. */
export interface CallerRequest {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
}

/** A line of a VM's log. */
export interface LogLine {
  readonly code?: number;
  readonly request?: string;
  readonly outcome?: string;
  readonly status?: number;
  /** The trace, as JSON. */
  readonly steps?: string;
  readonly requestsPerSecond?: number;
  /** How a caller's connection ended, and what was owed on it. */
  readonly ending?: string;
  readonly stopping?: boolean;
  readonly passedOn?: string;
  readonly waiting?: string;
}

/** Settings of a test VM. */
export interface TestVmOptions {
  readonly name: string;
  readonly store: MemoryStore;
  readonly seeds: readonly string[];
  /** Loopback address from which it connects; 127.0.0.1 if undefined. */
  readonly host?: string;
  readonly regions?: placement.Regions;
  /** `BOUNDS` if undefined. */
  readonly bounds?: proxy.ProxyBounds;
}

/** One VM in front of some targets. */
export class TestVm {
  readonly store: MemoryStore;
  readonly targets: TestTarget[] = [];
  /** The lines of the VM's log. */
  readonly log: LogLine[] = [];
  port = 0;
  peerAddress = "";
  readonly #options: TestVmOptions;
  readonly #hedging: proxy.HedgingOptions;
  #vm: proxy.ProxyVm | undefined;
  #nextRequest = 1;

  constructor(
    options: TestVmOptions = { name: "vm", store: new MemoryStore(), seeds: [] },
    hedging: proxy.HedgingOptions = proxy.NO_HEDGING,
  ) {
    this.#options = options;
    this.#hedging = hedging;
    this.store = options.store;
  }

  get isReady(): boolean {
    return this.#vm?.isReady() ?? false;
  }

  get explainer(): proxy.PlacementExplainer {
    return this.#vm?.explainer ?? assert.fail();
  }

  get host(): string {
    return this.#options.host ?? "127.0.0.1";
  }

  async start(targetCount: number, declared = createDeclarations(1)): Promise<void> {
    this.store.declared ??= declared;
    for (let index = 0; index < targetCount; index++) {
      const target = new TestTarget(`target-${index}`);
      await target.start();
      this.targets.push(target);
      this.store.put(target.createChange(index + 2));
    }
    this.port = await kernelTesting.claimPort();
    this.peerAddress = `${this.host}:${await kernelTesting.claimPort()}`;
    const output = new stream.Writable({
      write: (line: Buffer, _encoding, callback) => {
        this.log.push(JSON.parse(line.toString()) as LogLine);
        callback();
      },
    });
    const rootLogger = kernel.createOutputLogger(this.#options.name, "info", output);
    this.#vm = proxy.createProxyVm({
      identity: {
        vm: model.createVmId(this.#options.name),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId("north"),
        address: this.peerAddress,
        tag: this.port,
        capacity: 5,
      },
      callerAddress: `${this.host}:${this.port}`,
      listSeeds: () => this.#options.seeds,
      profile: PROFILE,
      bounds: this.#options.bounds ?? BOUNDS,
      regions: this.#options.regions,
      isFirstStart: true,
      getHedging: () => this.#hedging,
      rootLogger,
    });
    const logger = new kernel.ComponentLogger(rootLogger, "store");
    this.#vm.kernel.register(
      kernel.createServiceName<kernel.Service>("store-follower"),
      // As after a restart, so that the test does not wait for peers.
      new proxy.StoreFollower({
        store: this.store,
        mesh: this.#vm.mesh,
        publisher: this.#vm.publisher,
        logger,
        metrics: this.#vm.kernel.get(kernel.METRICS),
        isFirstStart: false,
      }),
    );
    await this.#vm.kernel.start();
    await waitFor(() => this.isReady, "the VM is ready");
  }

  /** Name, type and labels of every metric. */
  listMetrics(): string[] {
    const { registry } = this.#vm?.kernel.get(kernel.METRICS) ?? assert.fail();
    const metrics = registry.getMetricsAsArray() as unknown as {
      readonly name: string;
      readonly type: string;
      readonly labelNames: readonly string[];
    }[];
    return metrics.map(({ name, type, labelNames }) =>
      `${name} ${type} ${[...labelNames].sort().join(" ")}`
    );
  }

  /** Value of a counter for some labels; 0 if it was never increased. */
  async readCounter(name: string, labels: Record<string, string>): Promise<number> {
    const { registry } = this.#vm?.kernel.get(kernel.METRICS) ?? assert.fail();
    const metric = await registry.getSingleMetric(name)?.get();
    const found = metric?.values.find((value) =>
      Object.entries(labels).every(([label, text]) => value.labels[label] === text)
    );
    return found?.value ?? 0;
  }

  async stop(): Promise<void> {
    await this.#vm?.kernel.stop();
    this.targets.forEach((target) => target.stop());
  }

  call(request: CallerRequest = {}): Promise<CallerAnswer> {
    return new Promise((resolve) => {
      const outgoing = http.request({
        agent: request.agent ?? false,
        host: this.host,
        port: this.port,
        method: request.method ?? "POST",
        path: request.path ?? "/bookings/1",
        ...(request.signal === undefined ? {} : { signal: request.signal }),
        headers: {
          Host: "desk.example",
          Authorization: "Bearer secret",
          [PROFILE.requestId]: `request-${this.#nextRequest++}`,
          [PROFILE.deadline]: "3000",
          ...request.headers,
        },
      });
      const nothing = { status: 0, headers: {}, body: "", isComplete: false };
      outgoing.on("error", () => resolve(nothing));
      outgoing.on("response", (incoming) => {
        let body = "";
        const finish = () =>
          resolve({
            status: incoming.statusCode ?? 0,
            headers: incoming.headers,
            body,
            isComplete: incoming.complete && (
              incoming.headers["content-length"] !== undefined ||
              incoming.headers["transfer-encoding"] !== undefined
            ),
          });
        incoming.on("data", (chunk: Buffer) => body += chunk.toString());
        incoming.on("end", finish);
        incoming.on("error", finish);
      });
      outgoing.end(request.body);
    });
  }

  /** The trace of a request in the log. */
  getTrace(request: string): { line: LogLine; steps: readonly Record<string, unknown>[] } {
    const line =
      this.log.find((one) =>
        one.code === kernel.LogMessages.requestEnded.code && one.request === request
      ) ?? assert.fail(`no trace of ${request}`);
    return { line, steps: JSON.parse(line.steps ?? "") as Record<string, unknown>[] };
  }

  countRequests(): number {
    return this.targets.reduce((sum, target) => sum + target.requests.length, 0);
  }
}

/** Starts a VM, runs a test on it and stops it without waiting for the drain. */
export async function withVm(
  targetCount: number,
  run: (vm: TestVm) => Promise<void>,
  declared = createDeclarations(1),
): Promise<void> {
  const vm = new TestVm();
  try {
    await vm.start(targetCount, declared);
    await run(vm);
  } finally {
    await vm.stop();
  }
}

/** Waits until a condition holds, by default as long as a change may take to be in force. */
export function waitFor(
  condition: () => boolean,
  what: string,
  milliseconds = MAX_PROPAGATION_MILLISECONDS,
): Promise<void> {
  return kernelTesting.waitFor(condition, what, milliseconds);
}
