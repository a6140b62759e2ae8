/**
 * The choice of a connection for a request, and the connection limit.
 */

import assert from "node:assert/strict";
import type * as net from "node:net";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as connections from "../src/connections.ts";
import * as harness from "./harness.ts";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const notAborted = { signal: new AbortController().signal };

interface SilentTarget {
  readonly server: harness.TestServer;
  readonly sockets: net.Socket[];
  /** The connection and method of each request, in the order of arrival. */
  readonly requests: [connection: number, method: string][];
}

/** Starts a target whose connections stop responding after the first response, as if half-open. */
async function startSilentTarget(): Promise<SilentTarget> {
  const sockets: net.Socket[] = [];
  const requests: [number, string][] = [];
  const server = await harness.startRawTarget((socket) => {
    const connection = sockets.push(socket) - 1;
    let answered = false;
    socket.on("data", (chunk) => {
      requests.push([connection, chunk.toString("latin1").split(" ", 1)[0] ?? ""]);
      if (!answered) {
        answered = true;
        socket.write(ANSWER);
      }
    });
  });
  return { server, sockets, requests };
}

test.describe("connections to targets", () => {
  test.it("carry writes only if recently active, and expire when idle", () => {
    const clock = new kernelTesting.TestClock();
    const events: connections.ConnectionEvent[] = [];
    const pool = new connections.TargetConnections(
      "127.0.0.1:1",
      () => 3,
      (event) => events.push(event),
    );
    const take = (idempotent: boolean) =>
      pool.acquire(idempotent, notAborted) as connections.TargetConnection;
    try {
      const first = take(true);
      pool.release(first, true);
      assert.equal(take(false), first, "A connection that was just used is recently active.");
      pool.release(first, true);
      void clock.advance(1_000, 1_000);
      const fresh = take(false);
      assert.notEqual(fresh, first);
      assert.equal(take(true), first, "An idempotent request may use an older connection.");
      pool.releaseUnused(first);
      assert.notEqual(
        take(false),
        first,
        "A connection that was released unused is not recently active.",
      );
      pool.release(fresh, false);
      void clock.advance(10_000, 10_000);
      // In a process that was paused, the idle timer has not closed the connection yet.
      const latest = take(true);
      assert.notEqual(latest, first);
      assert.equal(events.filter((event) => event === "passed_over").length, 3);
    } finally {
      clock.restore();
      pool.retire();
    }
  });

  test.it("stay within the limit, and requests wait for one in order", async () => {
    const pool = new connections.TargetConnections("127.0.0.1:1", () => 1, () => {});
    const first = await pool.acquire(true, notAborted);
    assert.ok(first !== undefined);
    const gone = new AbortController();
    const cancelled = pool.acquire(true, gone);
    const second = pool.acquire(false, notAborted);
    gone.abort();
    assert.equal(await cancelled, undefined);
    assert.equal(pool.size, 1);
    pool.release(first, false);
    const next = await second;
    assert.ok(next !== undefined && next !== first);
    assert.equal(pool.size, 1);
    pool.release(next, true);
    pool.retire();
    assert.equal(pool.size, 0);
  });

  test.it("that stop responding get no write, and reads time out early", async (context) => {
    const silent = await startSilentTarget();
    const responsive = await harness.startTarget((_request, response) => response.end("ok"));
    const declaration = { targets: [silent.server.address] };
    const vm = await harness.startVm(declaration);
    context.after(async () => {
      await vm.services.stop();
      await silent.server.stop();
      await responsive.stop();
    });
    assert.equal((await harness.call(vm.port)).body, "ok");
    // Longer than a connection counts as recently active.
    await new Promise((resolve) => setTimeout(resolve, 600));
    assert.equal((await harness.call(vm.port, { method: "POST" })).body, "ok");
    assert.deepEqual(silent.requests, [[0, "GET"], [1, "POST"]]);
    vm.configuration.publish({
      targets: [silent.server.address, responsive.address],
      route: { timeoutMilliseconds: 400 },
    });
    // At most one of the two requests goes to the silent target; both are answered.
    assert.equal((await harness.call(vm.port)).body, "ok");
    assert.equal((await harness.call(vm.port)).body, "ok");
  });

  test.it("to a removed target are closed", async (context) => {
    const closed: Promise<unknown>[] = [];
    const target = await harness.startRawTarget((socket) => {
      closed.push(new Promise((resolve) => socket.once("close", resolve)));
      socket.on("data", () => socket.write(ANSWER));
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    await harness.call(vm.port);
    vm.configuration.publish({ targets: [] });
    await Promise.all(closed);
    assert.equal(closed.length, 1);
  });
});
