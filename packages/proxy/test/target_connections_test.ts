/**
 * Guards against connections to targets that end, or are used, at the wrong moment: one with a
 * running attempt is closed by the VM, or a request is sent on one that its target has ended.
 */

import * as assert from "node:assert/strict";
import type * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as bodies from "../src/body.ts";
import * as calls from "../src/target_call.ts";
import type * as types from "../src/types.ts";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

/** Longer than idle connections are kept. */
const SILENT_MILLISECONDS = 4_600;

let nextRequest = 1;

/** A request with an identifier of its own. */
function createRequest(isIdempotent: boolean): types.AcceptedRequest {
  const id = `request-${nextRequest++}`;
  return {
    ...benches.createRequest("GET", undefined),
    id,
    headers: ["Host", "desk.example", harness.PROFILE.requestId, id],
    route: harness.createRoute({ isIdempotent }),
  };
}

/** Begins a request; returns its identifier. */
function begin(bench: benches.CallBench): string {
  const request = createRequest(true);
  bench.changes = { ...bench.changes, request };
  bench.begin("GET").end();
  return request.id;
}

/** Calls the target at once. */
function callDirectly(bench: benches.CallBench, isIdempotent: boolean): Promise<calls.CallResult> {
  return calls.callTarget({
    request: createRequest(isIdempotent),
    destination: {
      kind: "target",
      address: bench.target.address,
      id: model.createTargetId("target"),
    },
    body: new bodies.RequestBody([], undefined),
    profile: harness.PROFILE,
    connections: bench.connections,
    connectTimeoutMilliseconds: 1_000,
    recordConnectTime: () => undefined,
    isStillAccepted: () => true,
    recordNotice: () => undefined,
    signal: new AbortController().signal,
  });
}

/** Responds to the latest request of a connection. */
function respond(
  { text, socket }: benches.Arrival,
  headers: Readonly<Record<string, string>> = {},
): void {
  const id = /x-request: (request-\d+)(?![^]*x-request:)/i.exec(text)?.[1] ?? assert.fail(text);
  const head = { [harness.PROFILE.requestId]: id, "Content-Length": "4", ...headers };
  socket.write(`${benches.createHead(200, head)}done`);
}

/** Makes one request, so that the connection is kept. */
async function warm(bench: benches.CallBench): Promise<benches.Arrival> {
  bench.target.onData = respond;
  begin(bench);
  assertAnswered(await bench.waitForResult());
  // The connection is free in the turn after the response.
  await kernel.sleep(10);
  bench.target.onData = () => undefined;
  return bench.target.arrivals[0] ?? assert.fail();
}

function countRequests({ text }: benches.Arrival): number {
  return text.split("GET ").length - 1;
}

function assertAnswered(result: calls.CallResult): void {
  assert.equal(result.kind, "answered", JSON.stringify(result));
}

function listFree(bench: benches.CallBench): net.Socket[] {
  return Object.values(bench.connections.freeSockets).flatMap((sockets) => sockets ?? []);
}

test.describe("connections to targets", { concurrency: 4 }, () => {
  for (const isKept of [false, true]) {
    const which = isKept ? "a kept connection" : "a new connection";

    test.test(`${which} ends since its target works longer than connections may be idle`, async () => {
      await benches.withBench(async (bench) => {
        if (isKept) {
          await warm(bench);
        }
        begin(bench);
        const [arrival] = await bench.waitForArrivals((first) =>
          countRequests(first) === (isKept ? 2 : 1)
        );
        assert.ok(arrival !== undefined);
        await kernel.sleep(SILENT_MILLISECONDS);
        respond(arrival);
        assertAnswered(await bench.waitForResult());
        assert.equal(bench.target.arrivals.length, 1);
      });
    });

    test.test(`${which} with a running attempt ends since its target leaves`, async () => {
      await benches.withBench(async (bench) => {
        if (isKept) {
          await warm(bench);
        }
        begin(bench);
        const [arrival] = await bench.waitForArrivals((first) =>
          countRequests(first) === (isKept ? 2 : 1)
        );
        assert.ok(arrival !== undefined);
        const { host, port } = kernel.splitAddress(bench.target.address);
        bench.connections.closeIdle(host, port);
        bench.connections.closeUnusable(host, port, {
          id: "other",
          route: { isIdempotent: false },
        });
        await kernel.sleep(50);
        respond(arrival);
        assertAnswered(await bench.waitForResult());
      });
    });
  }

  test.test("an announced idle time of no seconds ends a running attempt", async () => {
    await benches.withBench(async (bench) => {
      bench.target.onData = (arrival) =>
        respond(arrival, { "Keep-Alive": "timeout=0", "Connection": "keep-alive" });
      begin(bench);
      assertAnswered(await bench.waitForResult());
      await kernel.sleep(10);
      bench.target.onData = (arrival) => void setTimeout(() => respond(arrival), 300);
      begin(bench);
      assertAnswered(await bench.waitForResult());
      begin(bench);
      assertAnswered(await bench.waitForResult());
    });
  });

  for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? "an idempotent request" : "a request that may not run twice";
    test.test(`${kind} fails on a connection that its target has ended before it`, async () => {
      await benches.withBench(async (bench) => {
        const { socket } = await warm(bench);
        const [free] = listFree(bench);
        assert.ok(free !== undefined);
        bench.target.onData = respond;
        const result = new Promise<calls.CallResult>((resolve) => {
          // The connection counts as free until it is closed, a few turns of the event loop later.
          free.prependOnceListener("end", () => {
            assert.deepEqual(listFree(bench), [free]);
            resolve(callDirectly(bench, isIdempotent));
          });
        });
        socket.end();
        assertAnswered(await result);
        assert.equal(bench.target.arrivals.length, 2);
      });
    });
  }

  for (const statuses of [[100], [102], [103], [100, 102, 103, 103, 199]]) {
    test.test(`an attempt ends with informational responses: ${statuses.join()}`, async () => {
      await benches.withBench(async (bench) => {
        begin(bench);
        const [arrival] = await bench.waitForArrivals(({ text }) => text !== "");
        assert.ok(arrival !== undefined);
        for (const status of statuses) {
          arrival.socket.write(`HTTP/1.1 ${status} Informational\r\nLink: </a>\r\n\r\n`);
          await kernel.sleep(30);
          assert.equal(bench.results.length, 0);
        }
        respond(arrival);
        assertAnswered(await bench.waitForResult());
      });
    });
  }

  test.test("an attempt ends since the target has sent a part of its response for long", async () => {
    await benches.withBench(async (bench) => {
      await warm(bench);
      const id = begin(bench);
      const [arrival] = await bench.waitForArrivals((first) => countRequests(first) === 2);
      assert.ok(arrival !== undefined);
      const head = { [harness.PROFILE.requestId]: id, "Content-Length": "4" };
      arrival.socket.write(`${benches.createHead(200, head)}do`);
      await kernel.sleep(SILENT_MILLISECONDS);
      arrival.socket.write("ne");
      assertAnswered(await bench.waitForResult());
    });
  });
});
