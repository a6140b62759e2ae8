/**
 * Tests of surplus responses: second copies of a response that arrive where the next one is due.
 */

import assert from "node:assert/strict";
import type * as net from "node:net";
import * as test from "node:test";
import * as harness from "./harness.ts";

const SIGNAL = { status: 503, header: "not-run", value: "shed" };

const SHED = `HTTP/1.1 ${SIGNAL.status} Unavailable\r\n${SIGNAL.header}: ${SIGNAL.value}\r\n` +
  "content-length: 0\r\n\r\n";

const SUCCESS = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

test.describe("surplus responses", () => {
  test.it("the copy of a refusal makes a write run twice, or be reported as not run", async (context) => {
    const runs: string[] = [];
    const start = (name: string) => {
      let refusedOn: net.Socket | undefined;
      return harness.startRawTarget((socket) =>
        socket.on("data", () => {
          if (refusedOn === undefined) {
            refusedOn = socket;
            socket.write(SHED);
            return;
          }
          runs.push(name);
          if (refusedOn === socket) {
            socket.write(SHED);
          }
          setTimeout(() => socket.write(SUCCESS), 10);
        })
      );
    };
    const servers = [await start("first"), await start("second")];
    const vm = await harness.startVm({
      targets: servers.map(({ address }) => address),
      service: { notRunSignal: SIGNAL },
    });
    context.after(async () => {
      await vm.services.stop();
      await Promise.all(servers.map((server) => server.stop()));
    });
    const call = () => harness.call(vm.port, { method: "POST", headers: { "content-length": 0 } });
    // Each target refuses its first request, and copies this refusal on the same connection.
    const refused = await call();
    assert.equal(refused.headers["hemlockwalk-run"], "no");
    assert.deepEqual(runs, []);
    const { headers } = await call();
    assert.equal(runs.length, 1, runs.join(", "));
    assert.notEqual(headers["hemlockwalk-run"], "no");
  });
});
