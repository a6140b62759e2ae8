/**
 * Guards against what a target says of itself and what is lost, since the VM cancels the attempt while
 * the response is on its way.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import type * as calls from "../src/target_call.ts";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Longest time until the connection of a cancelled attempt is closed, whatever its target does. */
const MAX_CLOSE_MILLISECONDS = 1_500;

const PAUSE = {
  [PROFILE.notRun]: "1",
  "Retry-After": "3",
  "Content-Length": "0",
};

interface Call {
  readonly bench: benches.CallBench;
  readonly notices: calls.TargetNotice[];
  readonly cancel: () => void;
}

/** Runs a test with a call that can be cancelled. */
async function withCall(run: (call: Call) => Promise<void>): Promise<void> {
  await benches.withBench(async (bench) => {
    const attempt = new AbortController();
    const notices: calls.TargetNotice[] = [];
    bench.changes = {
      signal: attempt.signal,
      recordNotice: (notice) => notices.push(notice),
    };
    await run({ bench, notices, cancel: () => attempt.abort("outlasted") });
  });
}

async function assertCancelled(bench: benches.CallBench): Promise<void> {
  assert.deepEqual(await bench.waitForResult(), { kind: "failed", reason: "cancelled" });
  const { sockets, freeSockets } = bench.connections;
  await harness.waitFor(
    () => Object.keys(sockets).length === 0,
    "the connection to the target is closed",
    MAX_CLOSE_MILLISECONDS,
  );
  assert.deepEqual(Object.keys(freeSockets), []);
}

test.describe("an attempt that is cancelled", { concurrency: 4 }, () => {
  test.test("drops a pause that its target has stated already", async () => {
    await withCall(async ({ bench, notices, cancel }) => {
      // The response is in the VM's socket, unread, when the attempt is cancelled.
      bench.target.onData = ({ socket }) => {
        socket.write(benches.createHead(503, PAUSE));
        cancel();
      };
      bench.begin("GET").end();
      await assertCancelled(bench);
      assert.deepEqual(notices.map(({ retryAfter }) => retryAfter), ["3"]);
    });
  });

  test.test("drops a pause that its target states before it hears of the end", async () => {
    await withCall(async ({ bench, notices, cancel }) => {
      bench.target.onData = ({ socket }) => {
        cancel();
        socket.write(benches.createHead(503, PAUSE));
      };
      bench.begin("GET").end();
      await assertCancelled(bench);
      assert.deepEqual(notices.map(({ retryAfter }) => retryAfter), ["3"]);
    });
  });

  test.test("drops that its target leaves, as it says in a response", async () => {
    await withCall(async ({ bench, notices, cancel }) => {
      bench.target.onData = ({ socket }) => {
        const head = benches.createHead(200, { [PROFILE.leaving]: "1", "Content-Length": "4" });
        socket.write(`${head}done`);
        cancel();
      };
      bench.begin("GET").end();
      await assertCancelled(bench);
      assert.deepEqual(notices.map(({ isLeaving }) => isLeaving), [true]);
    });
  });

  test.test("believes a pause that was stated to another request", async () => {
    await withCall(async ({ bench, notices, cancel }) => {
      bench.target.onData = ({ socket }) => {
        socket.write(benches.createHead(503, { ...PAUSE, [PROFILE.requestId]: "other" }));
        cancel();
      };
      bench.begin("GET").end();
      await assertCancelled(bench);
      assert.deepEqual(notices, []);
    });
  });

  for (
    const [what, respond] of [
      ["that hangs", () => undefined],
      [
        "that sends without end",
        ({ socket }: benches.Arrival) => {
          socket.write(benches.createHead(200, { "Transfer-Encoding": "chunked" }));
          const timer = setInterval(() => socket.write("4\r\nmore\r\n"), 5);
          socket.once("close", () => clearInterval(timer));
        },
      ],
      [
        "that sends no response",
        ({ socket }: benches.Arrival) => {
          socket.write("no response\r\n\r\n");
        },
      ],
    ] as const
  ) {
    test.test(`goes on at a target ${what}, or keeps its connection`, async () => {
      await withCall(async ({ bench, cancel }) => {
        let endedAt: number | undefined;
        bench.target.onData = ({ socket }) => {
          // Such a target does not end the connection by itself.
          socket.allowHalfOpen = true;
          socket.once("end", () => endedAt = kernel.getMonotonicMilliseconds());
          cancel();
        };
        bench.begin("GET").end();
        await harness.waitFor(() => bench.target.arrivals.length === 1, "the request arrives");
        const arrival = bench.target.arrivals[0] ?? assert.fail();
        await harness.waitFor(() => endedAt !== undefined, "the target hears of the end", 500);
        respond(arrival);
        await assertCancelled(bench);
      });
    });
  }
});
