/**
 * Tests that a request is refused as not run only on the word of a target about this very attempt.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as targetConnections from "../src/target_connections.ts";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Statuses by which a caller learns that its request has not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Time by which the response follows the copy of a refusal. */
const COPY_LEAD_MILLISECONDS = 10;

/** Time within which a change in the store is known to the VM. */
const CHANGE_MILLISECONDS = 60;

function getId({ headers }: http.IncomingMessage): string {
  return String(headers[PROFILE.requestId]);
}

/** The refusal of a request that is meant for another target. */
function createRefusal(id: string): string {
  return `HTTP/1.1 421 Misdirected\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.notRun}: 1\r\n` +
    "Content-Length: 0\r\n\r\n";
}

/**
 * A target that gets another identifier with each request, of which the store learns only when the
 * request for the former one is refused. It copies this refusal when the request comes again.
 */
class RenamedTarget {
  readonly runs: string[] = [];
  copies = 0;
  readonly #vm: harness.TestVm;
  readonly #port: number;
  readonly #refusedOn = new Map<string, net.Socket>();
  /** Where the request goes next if the copy of its refusal is believed. */
  readonly #further: harness.TestTarget | undefined;
  #generation = 0;

  constructor(vm: harness.TestVm, target: harness.TestTarget, further?: harness.TestTarget) {
    this.#vm = vm;
    this.#port = target.port;
    this.#further = further;
    this.#list(this.#id, this.#port);
    target.behaviour = (request, response) => void this.#receive(request, response);
    if (further !== undefined) {
      further.behaviour = (request, response) => {
        this.runs.push(getId(request));
        harness.answerSuccess(request, response);
      };
    }
  }

  /** Gets a new identifier, while the store lists only the former one. */
  rename(): void {
    this.#generation++;
    this.#list(`further-${this.#generation - 1}`, undefined);
  }

  #list(id: string, port: number | undefined): void {
    const { store } = this.#vm;
    const change = fixtures.createChange(id, store.revision + 1, { address: `127.0.0.1:${port}` });
    store.put(port === undefined ? { ...change, entry: undefined } : change);
  }

  get #id(): string {
    return `renamed-${this.#generation}`;
  }

  async #receive(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { socket, headers } = request;
    const id = getId(request);
    if (headers[PROFILE.expectedTarget] !== this.#id) {
      this.#refusedOn.set(id, socket);
      this.#list(this.#id, this.#port);
      this.#list(`renamed-${this.#generation - 1}`, undefined);
      await kernel.sleep(CHANGE_MILLISECONDS);
      response.writeHead(421, { [PROFILE.requestId]: id, [PROFILE.notRun]: "1" }).end();
      return;
    }
    this.runs.push(id);
    if (this.#further !== undefined) {
      this.#list(`further-${this.#generation}`, this.#further.port);
      await kernel.sleep(CHANGE_MILLISECONDS);
    }
    if (this.#refusedOn.get(id) === socket) {
      this.copies++;
      socket.write(createRefusal(id));
    }
    setTimeout(() => harness.answerSuccess(request, response), COPY_LEAD_MILLISECONDS);
  }

  /** Whether a request was refused before it ran. */
  wasRefused(id: string): boolean {
    return this.#refusedOn.has(id);
  }
}

test.describe("refusals and runs", { concurrency: 4 }, () => {
  for (const [where, hasFurther] of [["alone", false], ["beside another target", true]] as const) {
    test.test(`a request that runs is refused because of the copy of its earlier refusal, ${where}`, async () => {
      const routes = [harness.createRoute({ attempts: 3 })];
      await harness.withVm(2, async (vm) => {
        const [first, second] = vm.targets;
        assert.ok(first !== undefined && second !== undefined);
        for (const target of vm.targets) {
          vm.store.put({ ...target.createChange(vm.store.revision + 1), entry: undefined });
        }
        const target = new RenamedTarget(vm, first, hasFurther ? second : undefined);
        const statuses = new Map<string, number>();
        for (let request = 0; request < 25; request++) {
          target.rename();
          await kernel.sleep(CHANGE_MILLISECONDS);
          const id = `request-${request}`;
          const { status } = await vm.call({ headers: { [PROFILE.requestId]: id } });
          statuses.set(id, status);
        }
        const { runs } = target;
        assert.ok(runs.some((id) => target.wasRefused(id)), "a request came to the target again");
        const refused = runs.filter((id) => NOT_RUN_STATUSES.includes(statuses.get(id) ?? 0));
        const repeated = runs.filter((id, index) => runs.indexOf(id) < index);
        assert.deepEqual({ refused, repeated }, { refused: [], repeated: [] });
      }, harness.createDeclarations(1, { routes }));
    });
  }

  test.test("a refusal that names no request passes for the response to the next one", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      assert.equal((await vm.call()).status, 200);
      const sockets = new Set(target.requests.map(({ socket }) => socket));
      target.behaviour = (request, response) => {
        sockets.add(request.socket);
        request.socket.write(
          `HTTP/1.1 503 Unavailable\r\n${PROFILE.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
        );
        setTimeout(() => harness.answerSuccess(request, response), COPY_LEAD_MILLISECONDS);
      };
      const { status } = await vm.call();
      assert.equal(sockets.size, 1, "the connection is used again");
      assert.equal(status, 502);
    });
  });

  for (const status of [408, 429, 503]) {
    test.test(`a target's status ${status} without its word reaches the caller as a promise`, async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        target.behaviour = (request, response) =>
          response.writeHead(status, harness.createAnswerHeaders(request)).end();
        const answer = await vm.call();
        assert.equal(answer.status, 502);
        assert.equal(answer.headers[PROFILE.signature], undefined);
      });
    });
  }

  test.test("the copy of a refusal ends an attempt that a target runs", async () => {
    await benches.withBench(async (bench) => {
      const { target } = bench;
      const refusal = benches.createHead(503, { [PROFILE.notRun]: "1", "Content-Length": "0" });
      const success = benches.createHead(200, { "Content-Length": "0" });
      // A connection is kept from its first complete response on.
      bench.changes = { request: { ...benches.createRequest("POST", undefined), id: "other" } };
      target.onData = ({ socket }) => {
        socket.write(success.replace(": request\r", ": other\r"));
      };
      assert.equal((await bench.run("POST")).kind, "answered");
      bench.changes = {};
      target.onData = ({ socket }) => socket.write(refusal);
      assert.equal((await bench.run("POST")).kind, "not_run");
      assert.equal(target.arrivals.length, 1, "the connection is kept");
      const [first] = target.arrivals;
      target.onData = (arrival) => {
        if (arrival === first) {
          arrival.socket.write(refusal);
        }
        arrival.socket.write(success);
      };
      assert.equal((await bench.run("POST")).kind, "answered");
    });
  });

  test.test("the copy of a refusal on another connection ends an attempt that a target runs", async () => {
    await benches.withBench(async (bench) => {
      const refusal = benches.createHead(503, { [PROFILE.notRun]: "1", "Content-Length": "0" });
      bench.target.onData = ({ socket }) => socket.write(refusal);
      assert.equal((await bench.run("POST")).kind, "not_run");
      bench.changes = { wasRefusedHere: true };
      const result = await bench.run("POST");
      assert.equal(bench.target.arrivals.length, 2);
      assert.deepEqual([result.kind, "reason" in result && result.reason], [
        "failed",
        "unattributed",
      ]);
    });
  });

  test.test("the identifiers that a connection remembers grow without limit", async () => {
    await benches.withBench(async (bench) => {
      bench.target.onData = ({ socket, text }) => {
        const id = /(request-\d+)\r\n(?!.*request-)/s.exec(text)?.[1] ?? "";
        socket.write(
          benches.createHead(200, { "Content-Length": "0" }).replace(": request\r", `: ${id}\r`),
        );
      };
      for (let request = 0; request < 300; request++) {
        const id = `request-${request}`;
        const headers = [PROFILE.requestId, id];
        bench.changes = {
          request: { ...benches.createRequest("POST", undefined), id, headers },
        };
        assert.equal((await bench.run("POST")).kind, "answered");
      }
      const { length } = bench.target.arrivals;
      assert.ok(length >= 2 && length < 10, `${length} connections`);
    });
  });

  test.test("a repeated refusal is believed on a connection that has carried the request", async () => {
    class CarelessConnections extends targetConnections.TargetConnections {
      override closeUnusable(): void {
        // Leaves connections that have carried the request.
      }
    }
    const careless = new CarelessConnections();
    await benches.withBench(async (bench) => {
      const success = benches.createHead(200, { "Content-Length": "0" });
      bench.changes = { connections: careless };
      bench.target.onData = ({ socket }) => socket.write(success);
      assert.equal((await bench.run("POST")).kind, "answered");
      bench.target.onData = ({ socket }) => {
        socket.write(benches.createHead(503, { [PROFILE.notRun]: "1", "Content-Length": "0" }));
      };
      const result = await bench.run("POST");
      assert.equal(bench.target.arrivals.length, 1);
      assert.deepEqual([result.kind, "reason" in result && result.reason], [
        "failed",
        "unattributed",
      ]);
    });
    careless.destroy();
  });

  for (const kind of ["target", "peer"] as const) {
    test.test(`a ${kind}'s refusal that names no request is believed on a used connection, or on none`, async () => {
      await benches.withBench(async (bench) => {
        const { address } = bench.target;
        const refusal = `HTTP/1.1 503 No\r\n${
          kind === "peer" ? "hemlockwalk-refusal: no_target" : `${PROFILE.notRun}: 1`
        }\r\nContent-Length: 0\r\n\r\n`;
        const setId = (id: string) => {
          bench.changes = {
            request: { ...benches.createRequest("POST", undefined), id },
            ...(kind === "peer" ? { destination: { kind, address, decisions: "decisions" } } : {}),
          };
        };
        bench.target.onData = ({ socket }) => socket.write(refusal);
        setId("fresh");
        const expected = kind === "peer" ? "refused_by_peer" : "not_run";
        assert.equal((await bench.run("POST")).kind, expected);
        bench.target.onData = ({ socket }) => {
          socket.write(benches.createHead(200, { "Content-Length": "0" }));
        };
        setId("request");
        assert.equal((await bench.run("POST")).kind, "answered");
        const connections = bench.target.arrivals.length;
        bench.target.onData = ({ socket }) => socket.write(refusal);
        setId("used");
        assert.equal((await bench.run("POST")).kind, "failed");
        assert.equal(bench.target.arrivals.length, connections);
      });
    });
  }
});
