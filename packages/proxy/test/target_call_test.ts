/**
 * Tests of single calls to a target: when its connection is broken off or used again, and when an
 * answer is whole.
 */

import * as assert from "node:assert/strict";
import type * as net from "node:net";
import * as test from "node:test";
import * as benches from "./call_bench.ts";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

const { LONG_BYTES, createHead, withBench } = benches;

/** More than the buffers of the connections between caller and target take up. */
const UPLOAD_BYTES = 40_000_000;

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

  for (
    const [what, headers, ending, isWhole] of [
      ["an answer without a length that is reset", {}, "reset", false],
      ["an answer without a length that ends in order", {}, "end", true],
      ["an answer with a length that stops short", { "Content-Length": "9000000" }, "end", false],
      ["an answer with a length that is reset", { "Content-Length": "9000000" }, "reset", false],
      ["an answer in chunks that stops short", { "Transfer-Encoding": "chunked" }, "end", false],
      ["an answer in another coding that is reset", { "Transfer-Encoding": "x" }, "reset", false],
    ] as const
  ) {
    test.test(`a long answer that breaks off counts as whole: ${what}`, async () => {
      await withBench(async (bench) => {
        bench.target.onData = ({ socket }) => {
          const isInChunks = "Transfer-Encoding" in headers && headers["Transfer-Encoding"] !== "x";
          const body = "x".repeat(LONG_BYTES);
          socket.write(createHead(200, headers));
          socket.write(isInChunks ? `${LONG_BYTES.toString(16)}\r\n${body}\r\n` : body);
        };
        const result = await bench.run("GET");
        assert.ok(result.kind === "answered");
        const { answer } = result;
        assert.equal(answer.isWhole(), false);
        let bytes = answer.chunks.reduce((sum, chunk) => sum + chunk.length, 0);
        let hasEnded = false;
        let isClosed = false;
        answer.rest?.on("data", (chunk: Buffer) => bytes += chunk.length);
        answer.rest?.once("end", () => hasEnded = true);
        answer.rest?.once("close", () => isClosed = true);
        answer.rest?.resume();
        await harness.waitFor(() => bytes === LONG_BYTES, "what was sent has been read");
        assert.equal(answer.isWhole(), false);
        const [first] = bench.target.arrivals;
        if (ending === "reset") {
          first?.socket.resetAndDestroy();
        } else {
          first?.socket.end();
        }
        await harness.waitFor(() => isClosed, "the rest is closed");
        assert.deepEqual([answer.isWhole(), hasEnded], [isWhole, isWhole]);
      });
    });
  }

  test.test("a long answer without a length ends, although a reset arrives with its last bytes", async () => {
    await withBench(async (bench) => {
      bench.target.onData = ({ socket }) => {
        socket.write(createHead(200, {}));
        socket.write("x".repeat(LONG_BYTES));
      };
      const result = await bench.run("GET");
      assert.ok(result.kind === "answered");
      const { answer } = result;
      // Nothing is read until both have arrived.
      const { socket } = bench.target.arrivals[0] ?? assert.fail();
      socket.write("the last bytes", () => socket.resetAndDestroy());
      await kernel.sleep(50);
      let hasEnded = false;
      let isClosed = false;
      answer.rest?.once("end", () => hasEnded = true);
      answer.rest?.once("close", () => isClosed = true);
      answer.rest?.resume();
      await harness.waitFor(() => isClosed, "the rest is closed");
      assert.deepEqual([answer.isWhole(), hasEnded], [false, false]);
    });
  });

  for (
    const [what, body, reason] of [
      ["garbled", "4\r\nhalf\r\nno chunk\r\n", "spoilt"],
      ["broken off", "4\r\nha", "reset"],
    ] as const
  ) {
    test.test(`a short answer that is ${what} is taken for another failure`, async () => {
      await withBench(async (bench) => {
        bench.target.onData = ({ socket }) => {
          socket.write(createHead(200, { "Transfer-Encoding": "chunked" }) + body);
          if (reason === "reset") {
            setTimeout(() => socket.resetAndDestroy(), 20);
          }
        };
        assert.deepEqual(await bench.run("GET"), { kind: "failed", reason });
      });
    });
  }

  test.test("an answer without a length counts as whole though a reset came with its last bytes", async () => {
    await withBench(async (bench) => {
      bench.target.onData = ({ socket }) => {
        socket.write(`${createHead(200, {})}half of it`);
        // Both arrive before this process reads again.
        socket.resetAndDestroy();
      };
      const result = await bench.run("GET");
      assert.deepEqual(result, { kind: "failed", reason: "cut_short" });
    });
  });

  for (
    const [ending, isWhole, close] of [
      ["ends and then closes", true, (socket: net.Socket) => socket.end(() => socket.destroy())],
      ["closes", false, (socket: net.Socket) => socket.destroy()],
      ["resets", false, (socket: net.Socket) => socket.resetAndDestroy()],
    ] as const
  ) {
    const fault = isWhole ? "is refused" : "counts as whole";
    test.test(`an answer ${fault} whose target ${ending} a connection in which bytes wait`, async () => {
      await withBench(async (bench) => {
        bench.target.onData = ({ socket }) => socket.pause();
        const outgoing = bench.begin("POST", { "Content-Length": UPLOAD_BYTES });
        outgoing.write(Buffer.alloc(UPLOAD_BYTES / 2));
        await bench.waitForArrivals(({ text }) => text !== "");
        // The buffers of both connections fill up.
        let unsent = Number.POSITIVE_INFINITY;
        await kernelTesting.waitFor(async () => {
          const before = unsent;
          await kernel.sleep(200);
          unsent = outgoing.writableLength;
          return unsent === before;
        }, "nothing more is sent");
        assert.ok(unsent > 0);
        const { socket } = bench.target.arrivals[0] ?? assert.fail();
        socket.write(`${createHead(200)}all of it`);
        close(socket);
        const result = await bench.waitForResult();
        assert.equal(result.kind, isWhole ? "answered" : "failed");
        if (result.kind === "answered") {
          assert.equal(Buffer.concat(result.answer.chunks).toString(), "all of it");
          assert.equal(result.answer.isWhole(), true);
        }
        await waitUntilClosed(bench);
        outgoing.destroy();
      });
    });
  }

  test.test("a target is blamed for a workspace that no header can carry", async () => {
    await withBench(async (bench) => {
      bench.changes = { request: benches.createRequest("GET", "ü€") };
      assert.deepEqual(await bench.run("GET"), {
        kind: "not_run",
        reason: "withdrawn",
        hasArrived: false,
      });
    });
  });
});
