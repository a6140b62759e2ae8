/**
 * Tests of single calls to a target: when its connection is broken off or used again, and when an
 * answer is whole.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { LONG_BYTES, withBench } = benches;

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
});
