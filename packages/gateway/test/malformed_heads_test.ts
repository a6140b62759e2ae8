/**
 * Guards against answers of targets whose status, or whose fields' names, no answer has.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as harness from "./harness.ts";

/** Statuses that are informational or that no class of answers has. */
const STATUSES = ["000", "001", "042", "099", "199", "600", "999"];

const NAMES = ["X Part", "Content Length", "", "X-\0", "X-\x01", "X-\t", "X-\x7f", "X "];

const LONG_BYTES = 200_000;

test.describe("answers that no target may send", () => {
  for (const status of STATUSES) {
    for (const body of ["done", "x".repeat(LONG_BYTES)]) {
      test.it(`the caller gets ${status} with ${body.length} bytes, or the VM ends`, async (context) => {
        const target = await harness.startRawTarget((socket) => {
          socket.on("error", () => {});
          socket.on("data", () =>
            socket.write(
              `HTTP/1.1 ${status} Status\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
            ));
        });
        const vm = await harness.startVm({
          targets: [target.address],
          route: { timeoutMilliseconds: 1_000, idempotentMethods: ["GET"] },
        });
        context.after(async () => {
          await vm.services.stop();
          await target.stop();
        });
        for (const method of ["GET", "POST"]) {
          const answer = await harness.call(vm.port, { method });
          // An informational answer is no answer, so that the deadline ends the wait for one.
          assert.ok([502, 504].includes(answer.status), `${method}: ${answer.status}`);
          assert.equal(answer.headers["hemlockwalk-run"], "unknown");
        }
      });
    }
  }

  for (const name of NAMES) {
    test.it(`the caller gets one with a field ${JSON.stringify(name)}`, async (context) => {
      const target = await harness.startRawTarget((socket) => {
        socket.on("error", () => {});
        socket.on("data", () =>
          socket.write(
            Buffer.from(`HTTP/1.1 200 OK\r\n${name}: 3\r\ncontent-length: 4\r\n\r\ndone`, "latin1"),
          ));
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const answer = await harness.call(vm.port);
      assert.equal(answer.status, 502);
      assert.equal(answer.headers["hemlockwalk-run"], "unknown");
    });

    test.it(`one with ${JSON.stringify(name)} in its trailers ends as whole`, async (context) => {
      const target = await harness.startRawTarget((socket) => {
        socket.on("error", () => {});
        socket.on("data", () =>
          socket.write(
            Buffer.from(
              "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x\r\n\r\n" +
                `4\r\ndone\r\n0\r\n${name}: 3\r\n\r\n`,
              "latin1",
            ),
          ));
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const answer = await harness.sendRaw(vm.port, [
        `GET /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
      ]);
      assert.ok(!answer.text.endsWith("\r\n0\r\n\r\n"), answer.text);
      assert.ok(!/\r\n0\r\n/.test(answer.text), answer.text);
    });
  }
});
