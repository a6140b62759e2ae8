/**
 * Which connection a request goes onto, and how many there are.
 */

import assert from "node:assert/strict";
import type * as net from "node:net";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as connections from "../src/connections.ts";
import * as harness from "./harness.ts";

const ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

const alive = { signal: new AbortController().signal };

interface SilentTarget {
  readonly server: harness.TestServer;
  readonly sockets: net.Socket[];
  /** Requests by connection, in the order of their arrival. */
  readonly requests: [connection: number, method: string][];
}

/** A target whose connections fall silent after their first answer, as behind a lost path. */
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
  test.it("use for a write only what is proven alive, and nothing beyond the bound", () => {
    const clock = new kernelTesting.TestClock();
    const events: connections.ConnectionEvent[] = [];
    const pool = new connections.TargetConnections(
      "127.0.0.1:1",
      () => 2,
      (event) => events.push(event),
    );
    const take = (idempotent: boolean) =>
      pool.acquire(idempotent, alive) as connections.TargetConnection;
    try {
      const first = take(true);
      pool.release(first, true);
      assert.equal(take(false), first, "A connection that was just used is proven.");
      pool.release(first, true);
      void clock.advance(1_000, 1_000);
      const fresh = take(false);
      assert.notEqual(fresh, first);
      assert.equal(take(true), first, "A read may use an older one.");
      pool.release(first, true);
      pool.release(fresh, false);
      void clock.advance(10_000, 10_000);
      // The timers of a process that was paused have not closed the connection.
      const latest = take(true);
      assert.notEqual(latest, first);
      assert.equal(events.filter((event) => event === "passed_over").length, 2);
    } finally {
      clock.restore();
      pool.retire();
    }
  });

  test.it("stay within the limit; requests wait for one in turn", async () => {
    const pool = new connections.TargetConnections("127.0.0.1:1", () => 1, () => {});
    const first = await pool.acquire(true, alive);
    assert.ok(first !== undefined);
    const gone = new AbortController();
    const cancelled = pool.acquire(true, gone);
    const second = pool.acquire(false, alive);
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

  test.it("that went silent take no write, and a read leaves them in time", async (context) => {
    const silent = await startSilentTarget();
    const good = await harness.startTarget((_request, response) => response.end("ok"));
    const declaration = { targets: [silent.server.address] };
    const vm = await harness.startVm(declaration);
    context.after(async () => {
      await vm.services.stop();
      await silent.server.stop();
      await good.stop();
    });
    assert.equal((await harness.call(vm.port)).body, "ok");
    // Longer than a connection counts as proven.
    await new Promise((resolve) => setTimeout(resolve, 600));
    assert.equal((await harness.call(vm.port, { method: "POST" })).body, "ok");
    assert.deepEqual(silent.requests, [[0, "GET"], [1, "POST"]]);
    vm.configuration.publish({
      targets: [silent.server.address, good.address],
      route: { timeoutMilliseconds: 400 },
    });
    // At most one of two reads goes to the silent target; both are answered.
    assert.equal((await harness.call(vm.port)).body, "ok");
    assert.equal((await harness.call(vm.port)).body, "ok");
  });

  test.it("to a target that left are closed", async (context) => {
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
