/**
 * Runs a gateway on real sockets, with fakes of some of the services that it uses.
 */

import * as http from "node:http";
import * as net from "node:net";
import * as claims from "@hemlockwalk/claims";
import * as configuration from "@hemlockwalk/configuration";
import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as limits from "@hemlockwalk/limits";
import * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import * as neverthrow from "neverthrow";
import * as gateway from "../src/mod.ts";

/** A key of the workspace `antwerp`. */
export const KEY = "inspector-key-1";

/** A key of the workspace `ghent`. */
export const OTHER_KEY = "busker-key-1";

const SERVICE = model.createServiceId("inspection");

/** The configuration and settings of a test. */
export interface Declaration {
  readonly targets: readonly string[];
  readonly route?: Partial<model.Route>;
  readonly service?: Partial<model.Service>;
  /** Workspaces by key. */
  readonly keys?: Readonly<Record<string, string>>;
  readonly listener?: Record<string, unknown>;
  readonly claimStore?: claims.ClaimStore;
}

/** A configuration that a test can replace. */
export class FakeConfiguration extends configurationTesting.SettableConfiguration {
  #keys: Readonly<Record<string, string>> = {};

  publish(declaration: Declaration): void {
    const keys = declaration.keys ?? { [KEY]: "antwerp", [OTHER_KEY]: "ghent" };
    const withdrawn = Object.keys(this.#keys).filter((key) => keys[key] !== this.#keys[key]);
    this.#keys = keys;
    this.set(
      createSnapshot(declaration, keys),
      withdrawn.map((key) => model.createKeyDigest(key)),
    );
  }
}

function createSnapshot(
  declaration: Declaration,
  keys: Readonly<Record<string, string>>,
): configuration.Snapshot {
  const service: model.Service = {
    id: SERVICE,
    floor: 0,
    slots: 100,
    connections: 100,
    ...declaration.service,
  };
  const route: model.Route = {
    id: model.createRouteId("fines"),
    pathPrefix: "/fines",
    service: SERVICE,
    open: false,
    timeoutMilliseconds: 10_000,
    idempotentMethods: ["GET", "HEAD"],
    weight: 1,
    ...declaration.route,
  };
  const names = new Set(Object.values(keys));
  const workspaces = [...names].map((name) => ({
    id: model.createWorkspaceId(name),
    rate: 1_000,
    burst: 1_000,
    weight: 1,
  }));
  const declaredKeys = Object.entries(keys).map(([key, name]) => ({
    digest: model.createKeyDigest(key),
    workspace: model.createWorkspaceId(name),
  }));
  const targetList = declaration.targets.map((address, index) => ({
    id: model.createTargetId(`target-${index}`),
    service: SERVICE,
    address,
    dataCentre: model.createDataCentreId("north-1"),
    leaving: false,
  }));
  return new configurationTesting.PlainSnapshot({
    fleet: {
      keyPlacement: { header: "hemlockwalk-key", queryParameter: "key", cookie: "session" },
    },
    workspaces,
    keys: declaredKeys,
    services: [service],
    targets: targetList,
    routes: [route],
  });
}

/** A rate limiter that admits all requests unless the test replaces `decide`. */
export class FakeLimiter implements limits.RateLimiter {
  decide: () => limits.RateDecision | Promise<limits.RateDecision> = () => neverthrow.ok();

  admit(): limits.RateDecision | Promise<limits.RateDecision> {
    return this.decide();
  }
}

/** A VM under test. */
export interface TestVm {
  readonly services: kernel.Kernel;
  readonly configuration: FakeConfiguration;
  readonly limiter: FakeLimiter;
  readonly port: number;
  /** The sum of a metric's values with the given labels. */
  getCount(name: string, labels?: Readonly<Record<string, string>>): Promise<number>;
}

/** Starts a gateway with the given declaration. */
export async function startVm(declaration: Declaration): Promise<TestVm> {
  const services = new kernel.Kernel();
  const metrics = services.register(kernel.METRICS, new kernel.Metrics());
  const fake = new FakeConfiguration();
  const limiter = new FakeLimiter();
  services.register<configuration.ConfigurationService>(configuration.CONFIGURATION, fake);
  services.register<limits.RateLimiter>(limits.RATE_LIMITER, limiter);
  services.register<limits.FairQueue>(limits.FAIR_QUEUE, new limits.ArrivalOrderQueue());
  services.register<targets.TargetPool>(
    targets.TARGET_POOL,
    new targets.AdaptivePool({
      self: {
        vm: model.createVmId("vm-1"),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId("north-1"),
      },
      configuration: fake,
      metrics,
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "targets"),
    }, { strategy: new targets.RoundRobinStrategy(), detection: false }),
  );
  if (declaration.claimStore !== undefined) {
    services.register(claims.CLAIM_STORE, declaration.claimStore);
  }
  const settings = createListenerSettings(declaration.listener ?? {});
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "gateway");
  const server = services.register(
    gateway.GATEWAY,
    new gateway.Gateway(services, settings, logger),
  );
  fake.publish(declaration);
  await services.start();
  const getCount = async (name: string, labels: Readonly<Record<string, string>> = {}) => {
    const found = await metrics.registry.getSingleMetric(name)?.get();
    return (found?.values ?? [])
      .filter(({ labels: seen }) =>
        Object.entries(labels).every(([label, value]) =>
          (seen as Record<string, unknown>)[label] === value
        )
      )
      .reduce((sum, { value }) => sum + value, 0);
  };
  return { services, configuration: fake, limiter, port: server.port, getCount };
}

function createListenerSettings(overrides: Record<string, unknown>): model.ListenerSettings {
  const settings = model.parseSettings(JSON.stringify({
    vm: "vm-1",
    dataCentre: "north-1",
    listener: { address: "127.0.0.1:0", drainLagMilliseconds: 0, ...overrides },
    admin: { address: "127.0.0.1:0" },
    platform: { addresses: ["http://127.0.0.1:1"] },
  }));
  return settings._unsafeUnwrap().listener;
}

/** A test server on loopback. */
export interface TestServer {
  readonly address: string;
  stop(): Promise<void>;
}

async function listen(server: net.Server): Promise<TestServer> {
  const sockets = new Set<net.Socket>();
  server.on("connection", (socket: net.Socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    async stop() {
      for (const socket of sockets) {
        socket.destroy();
      }
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

/** Starts an HTTP target. */
export function startTarget(handler: http.RequestListener): Promise<TestServer> {
  return listen(http.createServer({ keepAliveTimeout: 0 }, handler));
}

/** Starts a target on raw sockets, to which the test writes the responses itself. */
export function startRawTarget(onSocket: (socket: net.Socket) => void): Promise<TestServer> {
  return listen(net.createServer(onSocket));
}

/** The data received on a raw connection. */
export interface RawAnswer {
  readonly text: string;
  /** Whether the connection failed, for example by a reset, instead of closing. */
  readonly reset: boolean;
}

/**
 * Sends bytes and reads until the connection ends or the received text satisfies `until`.
 *
 * @param halfClose Whether to end the sending side after the last byte.
 */
export function sendRaw(
  port: number,
  chunks: readonly (string | Buffer)[],
  until: (text: string) => boolean = () => false,
  halfClose = false,
): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    let text = "";
    let reset = false;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (until(text)) {
        socket.destroy();
      }
    });
    socket.on("error", () => {
      reset = true;
    });
    socket.on("end", () => {
      if (socket.writable) {
        // A reset that was reported as an end fails here.
        void kernelTesting.hasEndedInOrder(socket).then(() => socket.end());
      }
    });
    socket.on("close", () => resolve({ text, reset }));
    const writeNext = (index: number) => {
      const chunk = chunks[index];
      if (chunk !== undefined && socket.writable) {
        socket.write(chunk);
        setImmediate(() => writeNext(index + 1));
      } else if (halfClose) {
        socket.end();
      }
    };
    socket.on("connect", () => writeNext(0));
  });
}

/** A complete response to a caller. */
export interface CallerResult {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly trailers: NodeJS.Dict<string>;
  readonly body: string;
}

/** The parts of a caller's request that differ from the default. */
export interface CallerRequest {
  readonly method?: string;
  readonly path?: string;
  readonly key?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  readonly agent?: http.Agent;
}

/** Sends a request and reads the complete response; rejects if it is truncated. */
export function call(port: number, options: CallerRequest = {}): Promise<CallerResult> {
  return new Promise((resolve, reject) => {
    const request = http.request({
      port,
      host: "127.0.0.1",
      method: options.method ?? "GET",
      path: options.path ?? "/fines/7",
      agent: options.agent ?? false,
      headers: { authorization: `Bearer ${options.key ?? KEY}`, ...options.headers },
    }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          trailers: response.trailers,
          body: Buffer.concat(chunks).toString("latin1"),
        }));
    });
    request.on("error", reject);
    request.end(options.body);
  });
}

/** The reason in a refusal's body. */
export function getReason(result: { readonly body: string }): string {
  return (JSON.parse(result.body) as { reason: string }).reason;
}

/** Waits until a condition holds. */
export function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
  return kernelTesting.waitFor(condition, condition.toString());
}
