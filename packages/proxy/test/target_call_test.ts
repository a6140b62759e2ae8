/**
 * Tests of single calls to a target: when its connection is broken off or used again, and when an
 * answer is whole.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { LONG_BYTES, createHead, withBench } = benches;

/** Longest time until the connection of a call that is of no more use is closed. */
const MAX_CLOSE_MILLISECONDS = 1_500;

async function waitUntilClosed(bench: benches.CallBench): Promise<void> {
  await harness.waitFor(
    () => bench.target.arrivals.every(({ isClosed }) => isClosed),
    "the target's connection is closed",
    MAX_CLOSE_MILLISECONDS,
  );
}

test.describe("calls to targets", { concurrency: 4 }, () => {
  for (
    const [framing, headers] of [
      ["in chunks", { "Transfer-Encoding": "chunked" }],
      ["with a length", { "Content-Length": 3 * LONG_BYTES }],
    ] as const
  ) {
    test.test(`a target waits for the rest of a body that its caller has broken off, ${framing}`, async () => {
      await withBench(async (bench) => {
        const outgoing = bench.begin("POST", headers);
        outgoing.write("x".repeat(LONG_BYTES));
        const [first] = await bench.waitForArrivals(({ text }) => text.length > LONG_BYTES);
        outgoing.destroy();
        const result = await bench.waitForResult();
        assert.deepEqual(result, { kind: "failed", reason: "cancelled" });
        await waitUntilClosed(bench);
        assert.ok(!first?.text.endsWith("\r\n0\r\n\r\n"), "not ended as whole");
      });
    });
  }

  test.test("a long body in chunks is not delimited on its way to another VM", async () => {
    await withBench(async (bench) => {
      const { address } = bench.target;
      bench.changes = { destination: { kind: "peer", address, decisions: "decisions" } };
      bench.begin("DELETE", { "Transfer-Encoding": "chunked" }).end("x".repeat(LONG_BYTES));
      const [first] = await bench.waitForArrivals(({ text }) => text.endsWith("\r\n0\r\n\r\n"));
      assert.match(first?.text ?? "", /\r\nTransfer-Encoding: chunked\r\n/);
    });
  });

  for (
    const [what, status, headers] of [
      ["an early answer", 200, {}],
      ["an early rejection", 503, { [harness.PROFILE.notRun]: "1" }],
    ] as const
  ) {
    test.test(`a target's connection hangs after ${what} to a long body`, async () => {
      await withBench(async (bench) => {
        bench.target.onData = ({ socket, text }) => {
          if (text.length > LONG_BYTES) {
            socket.write(createHead(status, { ...headers, "Content-Length": "0" }));
            bench.target.onData = () => undefined;
          }
        };
        const outgoing = bench.begin("POST", { "Transfer-Encoding": "chunked" });
        outgoing.write("x".repeat(LONG_BYTES));
        const result = await bench.waitForResult();
        assert.equal(result.kind, status === 200 ? "answered" : "not_run");
        await waitUntilClosed(bench);
        assert.equal(outgoing.destroyed, false);
        // The next request uses another connection.
        bench.target.onData = ({ socket }) => {
          socket.write(createHead(200, { "Content-Length": "0" }));
        };
        assert.equal((await bench.run("GET")).kind, "answered");
        assert.equal(bench.target.arrivals.length, 2);
        outgoing.destroy();
      });
    });
  }
});
