/**
 * Guards against a response whose status is that of no final response and that its caller gets as one.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

const STATUSES = ["000", "001", "042", "099", "100", "101", "102", "199", "600", "999"];

function respondWith(request: http.IncomingMessage, status: string): void {
  const id = String(request.headers[PROFILE.requestId]);
  request.socket.end(
    `HTTP/1.1 ${status} Status\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.signature}: signed\r\n` +
      "Content-Length: 4\r\n\r\ndone",
  );
}

test.describe("responses whose status is no final one", { concurrency: 4 }, () => {
  for (const status of STATUSES) {
    for (const [method, path] of [["POST", "/bookings/1"], ["GET", "/reads/1"]] as const) {
      test.test(`the caller of ${method} ${path} gets ${status}`, async () => {
        await harness.withVm(2, async (vm) => {
          vm.targets.forEach((target) =>
            target.behaviour = (request) => respondWith(request, status)
          );
          const answer = await vm.call({ method, path });
          assert.equal(answer.status, 502);
          assert.equal((JSON.parse(answer.body) as { title: string }).title, "target_failed");
        });
      });
    }
  }

  for (const status of [0, 42, 99, 600, 999]) {
    test.test(`a call to another VM accepts ${status}`, async () => {
      await benches.withBench(async (bench) => {
        const { address } = bench.target;
        bench.changes = { destination: { kind: "peer", address, decisions: "decisions" } };
        bench.target.onData = ({ socket }) => {
          const head = benches.createHead(status, { "Content-Length": "4" });
          socket.write(`${head.replace(/ \d+ /, ` ${String(status).padStart(3, "0")} `)}done`);
        };
        assert.deepEqual(await bench.run("GET"), { kind: "failed", reason: "spoilt" });
      });
    });
  }
});
