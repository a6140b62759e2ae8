/**
 * Measures what callers that pipeline gain from requests that run ahead of their turn: the time from
 * a request to its whole response, and the throughput, for two or more builds in one run.
 *
 * Each build runs in a process of its own, as one VM with its targets. The callers run in the main
 * process. Each keeps a number of requests open on its connection. The builds are measured in turn,
 * in several rounds, one at a time.
 *
 * Run: `node packages/proxy/dist/bench/requests_ahead.js BUILD...` with the root folders of built
 * workspaces.
 */

import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as path from "node:path";
import process from "node:process";
import * as url from "node:url";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import type * as harness from "../test/harness.ts";

const TARGETS = 12;
const CONNECTIONS = 8;
const OPEN_REQUESTS = [2, 4, 16];
const ROUNDS = 3;
const WARM_UP_MILLISECONDS = 500;
const ROUND_MILLISECONDS = 2_000;

/** What targets do for a request. The path of its requests names the load. */
interface Load {
  readonly name: string;
  readonly from: number;
  readonly to: number;
  readonly bytes: number;
}

const LOADS: readonly Load[] = [
  { name: "short", from: 20, to: 20, bytes: 2_000 },
  { name: "uneven", from: 10, to: 200, bytes: 2_000 },
  { name: "slow", from: 300, to: 300, bytes: 2_000 },
  { name: "long", from: 20, to: 20, bytes: 500_000 },
];

const SERVING_ARGUMENT = "--serve";

/** Starts a VM of a build, and tells its port to the process that has started this one. */
async function serve(folder: string): Promise<void> {
  const file = path.resolve(folder, "packages/proxy/dist/test/harness.js");
  const built = await import(url.pathToFileURL(file).href) as typeof harness;
  const vm = new built.TestVm();
  const routes = LOADS.map(({ name }) =>
    built.createRoute({
      id: model.createRouteId(name),
      pathPrefix: `/${name}/`,
      isIdempotent: true,
      mayRunAhead: true,
      objectiveMilliseconds: 4_000,
      timeoutMilliseconds: 8_000,
    })
  );
  await vm.start(TARGETS, built.createDeclarations(1, { routes }));
  const bodies = new Map(LOADS.map((load) => [load.name, Buffer.alloc(load.bytes, "x")]));
  for (const target of vm.targets) {
    target.behaviour = (request, response) => {
      const load = LOADS.find(({ name }) => request.url?.startsWith(`/${name}/`)) ?? LOADS[0];
      const body = bodies.get(load?.name ?? "");
      const { from, to } = load ?? { from: 0, to: 0 };
      setTimeout(() => {
        response.writeHead(200, {
          ...built.createAnswerHeaders(request),
          "Content-Length": body?.length ?? 0,
        });
        response.end(body);
      }, from + Math.random() * (to - from));
    };
  }
  process.send?.({ port: vm.port });
  process.on("disconnect", () => process.exit(0));
}

/** One connection with a number of open requests. */
class Caller {
  readonly #socket: net.Socket;
  readonly #load: Load;
  readonly #times: number[];
  readonly #sentAt: number[] = [];
  #head = "";
  #bodyLeft = 0;
  #isOver = false;
  /** Responses other than a success. */
  failed = 0;

  constructor(port: number, load: Load, open: number, times: number[]) {
    this.#load = load;
    this.#times = times;
    this.#socket = net.connect({ host: "127.0.0.1", port, noDelay: true });
    this.#socket.on("data", (bytes) => this.#read(bytes));
    this.#socket.on("error", () => this.failed++);
    this.#send(open);
  }

  close(): void {
    this.#isOver = true;
    this.#socket.destroy();
  }

  #send(count: number): void {
    const now = kernel.getMonotonicMilliseconds();
    const request = [
      `GET /${this.#load.name}/1 HTTP/1.1`,
      "Host: desk.example",
      "Authorization: Bearer secret",
      `x-request: request-${Math.random()}`,
      "x-deadline: 10000",
    ].join("\r\n");
    this.#sentAt.push(...Array.from({ length: count }, () => now));
    this.#socket.write(`${request}\r\n\r\n`.repeat(count));
  }

  #read(bytes: Buffer): void {
    let left = bytes;
    while (left.length > 0 && !this.#isOver) {
      if (this.#bodyLeft > 0) {
        const taken = Math.min(this.#bodyLeft, left.length);
        this.#bodyLeft -= taken;
        left = left.subarray(taken);
      } else {
        const before = this.#head.length;
        this.#head += left.toString("latin1");
        const end = this.#head.indexOf("\r\n\r\n");
        if (end < 0) {
          return;
        }
        left = left.subarray(end + 4 - before);
        this.#bodyLeft = Number(/content-length: (\d+)/i.exec(this.#head.slice(0, end))?.[1] ?? 0);
        this.failed += this.#head.startsWith("HTTP/1.1 200") ? 0 : 1;
        this.#head = "";
      }
      if (this.#bodyLeft === 0) {
        const sentAt = kernel.getDefined(this.#sentAt.shift(), "A response has a request.");
        this.#times.push(kernel.getMonotonicMilliseconds() - sentAt);
        this.#send(1);
      }
    }
  }
}

/** Loads a VM for a while; returns the times of its responses and how many failed. */
async function play(port: number, load: Load, open: number) {
  const times: number[] = [];
  const callers = Array.from({ length: CONNECTIONS }, () => new Caller(port, load, open, times));
  await kernel.sleep(WARM_UP_MILLISECONDS);
  times.splice(0);
  await kernel.sleep(ROUND_MILLISECONDS);
  const measured = times.splice(0);
  callers.forEach((caller) => caller.close());
  await kernel.sleep(WARM_UP_MILLISECONDS);
  return { times: measured, failed: callers.reduce((sum, { failed }) => sum + failed, 0) };
}

function getQuantile(sorted: readonly number[], share: number): string {
  return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(0);
}

async function startBuild(folder: string) {
  const started = childProcess.fork(url.fileURLToPath(import.meta.url), [SERVING_ARGUMENT, folder]);
  const message = await new Promise<{ readonly port: number }>((resolve) => {
    started.once("message", (sent) => resolve(sent as { readonly port: number }));
  });
  return { folder, started, port: message.port };
}

async function measure(folders: readonly string[]): Promise<void> {
  const builds = [];
  for (const folder of folders) {
    builds.push(await startBuild(folder));
  }
  process.stdout.write(
    "load, open requests, build: p50 ms, p99 ms, responses per second, failed\n",
  );
  for (const load of LOADS) {
    for (const open of OPEN_REQUESTS) {
      const results = builds.map(() => ({ times: new Array<number>(), failed: 0 }));
      for (let round = 0; round < ROUNDS; round++) {
        for (const [index, { port }] of builds.entries()) {
          const { times, failed } = await play(port, load, open);
          const result = kernel.getDefined(results[index], "Each build has a result.");
          result.times.push(...times);
          result.failed += failed;
        }
      }
      for (const [index, { times, failed }] of results.entries()) {
        times.sort((left, right) => left - right);
        const rate = times.length / (ROUNDS * ROUND_MILLISECONDS / 1_000);
        process.stdout.write(
          `${load.name}, ${open}, ${index + 1}: ${getQuantile(times, 0.5)}, ` +
            `${getQuantile(times, 0.99)}, ${rate.toFixed(0)}, ${failed}\n`,
        );
      }
    }
  }
  builds.forEach(({ started }) => started.disconnect());
}

const [first, folder, ...others] = process.argv.slice(2);
if (first === SERVING_ARGUMENT && folder !== undefined) {
  await serve(folder);
} else if (first !== undefined) {
  await measure([first, folder, ...others].filter((one) => one !== undefined));
} else {
  process.stderr.write("Usage: requests_ahead.js BUILD...\n");
  process.exitCode = 2;
}
