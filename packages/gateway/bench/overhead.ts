/**
 * Measures the latency that the gateway adds to a request, and its throughput per CPU second
 * relative to a minimal forwarder.
 *
 * The target, the gateway and the minimal forwarder each run in a process of their own, the callers
 * in the main process. Latency is measured under an open-loop load at a fixed rate, so that a slow
 * path does not slow its callers down. Throughput is measured at saturation.
 *
 * Run: `node packages/gateway/dist/bench/overhead.js [seconds]`.
 */

import * as childProcess from "node:child_process";
import * as http from "node:http";
import type * as net from "node:net";
import process from "node:process";
import * as url from "node:url";
import * as kernel from "@hemlockwalk/kernel";
import * as undici from "undici";
import * as harness from "../test/harness.ts";

const FIXED_RATE = 150;
const SATURATION_CONNECTIONS = 32;
const DEFAULT_SECONDS = 2;
const WARM_UP_SECONDS = 2;
const ROUNDS = 5;

/** Offset between the requests of two paths, so that they do not coincide in the caller. */
const PATH_OFFSET_MILLISECONDS = 2.2;
const BODY = "x".repeat(1_024);

interface Role {
  readonly kind: "target" | "bare" | "gateway";
  readonly targetPort: number;
}

async function runRole(role: Role): Promise<void> {
  process.send?.({ port: await startRole(role) });
  process.on("message", () => process.send?.({ usage: process.cpuUsage() }));
  process.on("disconnect", () => process.exit(0));
}

async function startRole(role: Role): Promise<number> {
  switch (role.kind) {
    case "target":
      return listen(http.createServer((request, response) => {
        request.resume();
        response.end(BODY);
      }));
    case "bare":
      return listen(createBareForwarder(role.targetPort));
    case "gateway": {
      const vm = await harness.startVm({ targets: [`127.0.0.1:${role.targetPort}`] });
      return vm.port;
    }
    default:
      return kernel.assertNever(role.kind);
  }
}

/** A minimal forwarder: removes connection headers and streams both bodies. */
function createBareForwarder(targetPort: number): http.Server {
  const pool = new undici.Pool(`http://127.0.0.1:${targetPort}`, {
    connections: 100,
    pipelining: 1,
  });
  return http.createServer((request, response) => {
    const headers = removeConnectionHeaders(request.headers);
    const hasBody = request.headers["content-length"] !== undefined;
    pool.stream(
      {
        path: request.url ?? "/",
        method: request.method as undici.Dispatcher.HttpMethod,
        headers,
        body: hasBody ? request : null,
      },
      ({ statusCode, headers: answerHeaders }) => {
        response.writeHead(statusCode, removeConnectionHeaders(answerHeaders));
        return response;
      },
    ).catch(() => response.destroy());
  });
}

function removeConnectionHeaders(headers: http.IncomingHttpHeaders): http.IncomingHttpHeaders {
  const { connection, "keep-alive": keepAlive, ...kept } = headers;
  // Copying all but these is faster than deleting them.
  void connection;
  void keepAlive;
  return kept;
}

async function listen(server: http.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as net.AddressInfo).port;
}

interface StartedProcess {
  readonly child: childProcess.ChildProcess;
  readonly port: number;
}

async function startProcess(role: Role): Promise<StartedProcess> {
  const child = childProcess.fork(url.fileURLToPath(import.meta.url), [JSON.stringify(role)]);
  const { port } = await receive<{ port: number }>(child);
  return { child, port };
}

function receive<Message>(child: childProcess.ChildProcess): Promise<Message> {
  return new Promise((resolve) => child.once("message", resolve as (message: unknown) => void));
}

/** CPU time that a process has used, in seconds. */
async function getCpuSeconds(child: childProcess.ChildProcess): Promise<number> {
  child.send("usage");
  const { usage } = await receive<{ usage: NodeJS.CpuUsage }>(child);
  return (usage.user + usage.system) / 1_000_000;
}

async function sendOne(pool: undici.Pool): Promise<void> {
  const answer = await pool.request({
    method: "GET",
    path: "/fines/7",
    headers: { authorization: `Bearer ${harness.KEY}`, "accept-language": "nl-BE" },
  });
  const text = await answer.body.text();
  if (answer.statusCode !== 200 || text.length !== BODY.length) {
    throw new Error(`Unexpected response: status ${answer.statusCode}, ${text.length} bytes.`);
  }
}

async function measureLatency(
  pool: undici.Pool,
  seconds: number,
  offsetMilliseconds: number,
  distribution: kernel.LatencyDistribution,
): Promise<void> {
  const started = performance.now() + offsetMilliseconds;
  const running: Promise<void>[] = [];
  for (let index = 0; index < seconds * FIXED_RATE; index++) {
    const wait = started + index * 1_000 / FIXED_RATE - performance.now();
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, wait)));
    // Measured from the actual start: timer inaccuracy in the caller affects all paths alike.
    const begun = performance.now();
    running.push(sendOne(pool).then(() => distribution.record(performance.now() - begun)));
  }
  await Promise.all(running);
}

/** Requests per second of CPU time that the process used. */
async function measureThroughput(
  pool: undici.Pool,
  child: childProcess.ChildProcess,
  seconds: number,
): Promise<number> {
  const before = await getCpuSeconds(child);
  const until = performance.now() + seconds * 1_000;
  let count = 0;
  await Promise.all(Array.from({ length: SATURATION_CONNECTIONS }, async () => {
    while (performance.now() < until) {
      await sendOne(pool);
      count++;
    }
  }));
  return count / (await getCpuSeconds(child) - before);
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

async function runMain(): Promise<void> {
  const seconds = Number(process.argv[2] ?? DEFAULT_SECONDS);
  const target = await startProcess({ kind: "target", targetPort: 0 });
  const bare = await startProcess({ kind: "bare", targetPort: target.port });
  const gateway = await startProcess({ kind: "gateway", targetPort: target.port });
  const paths = { direct: target, bare, gateway };
  const pools = Object.fromEntries(
    Object.entries(paths).map(([name, { port }]) => [
      name,
      new undici.Pool(`http://127.0.0.1:${port}`, { connections: SATURATION_CONNECTIONS }),
    ]),
  );
  const getPool = (name: string) => kernel.getDefined(pools[name], "Each path has a pool.");
  const throughput: Record<string, number[]> = { bare: [], gateway: [] };
  const latencies = Object.fromEntries(
    Object.keys(paths).map((name) => [name, new kernel.LatencyDistribution()]),
  );
  for (const name of Object.keys(throughput)) {
    await measureThroughput(
      getPool(name),
      paths[name as "bare" | "gateway"].child,
      WARM_UP_SECONDS,
    );
  }
  for (let round = 0; round < ROUNDS; round++) {
    // Measures all paths concurrently, so that other load on the machine affects them equally.
    await Promise.all(
      Object.entries(latencies).map(([name, distribution], index) =>
        measureLatency(getPool(name), seconds, index * PATH_OFFSET_MILLISECONDS, distribution)
      ),
    );
    for (const [name, list] of Object.entries(throughput)) {
      const { child } = paths[name as "bare" | "gateway"];
      const perSecond = await measureThroughput(getPool(name), child, seconds);
      list.push(perSecond);
      print(`round ${round + 1} ${name}: ${perSecond.toFixed(0)} requests per CPU second`);
    }
  }
  report(latencies, throughput);
  await Promise.all(Object.values(pools).map((pool) => pool.destroy()));
  for (const { child } of Object.values(paths)) {
    child.disconnect();
  }
}

function report(
  latencies: Readonly<Record<string, kernel.LatencyDistribution>>,
  throughput: Readonly<Record<string, readonly number[]>>,
): void {
  const quantile = (name: string, share: number) =>
    latencies[name]?.getQuantileMilliseconds(share) ?? Number.NaN;
  for (const [name, { count }] of Object.entries(latencies)) {
    const p50 = quantile(name, 0.5);
    const p99 = quantile(name, 0.99);
    print(`${name}: p50 ${p50.toFixed(3)} ms, p99 ${p99.toFixed(3)} ms, ${count} requests`);
  }
  for (const name of ["bare", "gateway"]) {
    const p50 = quantile(name, 0.5) - quantile("direct", 0.5);
    const p99 = quantile(name, 0.99) - quantile("direct", 0.99);
    print(`${name} adds: p50 ${p50.toFixed(3)} ms, p99 ${p99.toFixed(3)} ms`);
  }
  const ratio = getMedian(throughput["gateway"] ?? []) / getMedian(throughput["bare"] ?? []);
  print(`throughput per core, gateway relative to bare forwarder: ${ratio.toFixed(2)}`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const role = process.argv[2];
if (process.send !== undefined && role !== undefined) {
  await runRole(JSON.parse(role) as Role);
} else {
  await runMain();
}
