/**
 * Tests of connections that callers open before they need them. A title names the failure that the
 * test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as rawCallers from "./raw_caller.ts";

const HEADER_MILLISECONDS = 500;
const IDLE_MILLISECONDS = 4_000;

/** The server looks for slow heads once a second. */
const PAST_HEADER_MILLISECONDS = HEADER_MILLISECONDS + 1_500;

const REQUEST = rawCallers.encodeRequest({ id: "first", method: "GET", path: "/reads/1" });

const DECLARATIONS = harness.createDeclarations(1, {
  limits: {
    headerBytes: 4_096,
    bodyBytes: 100_000,
    headerMilliseconds: HEADER_MILLISECONDS,
    idleMilliseconds: IDLE_MILLISECONDS,
  },
});

test.describe("a connection that is not used yet", { concurrency: 3 }, () => {
  test.it("is ended with 408 while it may stay idle", async () => {
    await harness.withVm(1, async (vm) => {
      const connection = new rawCallers.RawCaller(vm);
      await kernel.sleep(PAST_HEADER_MILLISECONDS);
      assert.deepEqual([connection.received, connection.hasEnded], ["", false]);
      connection.send(REQUEST);
      await harness.waitFor(() => connection.received !== "", "there is a response");
      assert.match(connection.received, /^HTTP\/1\.1 200 /);
      connection.close();
    }, DECLARATIONS);
  });

  test.it("stays open beyond the idle timeout", async () => {
    await harness.withVm(1, async (vm) => {
      const connection = new rawCallers.RawCaller(vm);
      await harness.waitFor(
        () => connection.hasEnded,
        "the connection has ended",
        2 * IDLE_MILLISECONDS,
      );
      assert.equal(connection.received, "");
      connection.close();
    }, DECLARATIONS);
  });

  test.it("takes a slow head without end, since it was idle before", async () => {
    await harness.withVm(1, async (vm) => {
      const connections = [0, PAST_HEADER_MILLISECONDS].map(async (idle) => {
        const connection = new rawCallers.RawCaller(vm);
        await kernel.sleep(idle);
        connection.send(REQUEST.slice(0, 30));
        await harness.waitFor(() => connection.hasEnded, "the connection has ended");
        assert.match(connection.received, /^HTTP\/1\.1 408 /, `idle for ${idle} ms`);
        connection.close();
      });
      await Promise.all(connections);
    }, DECLARATIONS);
  });
});
