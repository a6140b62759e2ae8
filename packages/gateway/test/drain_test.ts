/**
 * A graceful stop completes all requests.
 */

import assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as harness from "./harness.ts";

test.describe("drain", () => {
  test.it("serves while the balancer lags, completes streams, then closes", async (context) => {
    const open: http.ServerResponse[] = [];
    const target = await harness.startTarget((request, response) => {
      if (request.url === "/fines/stream") {
        response.write("begun");
        open.push(response);
        return;
      }
      response.end("done");
    });
    const vm = await harness.startVm({
      targets: [target.address],
      listener: { drainLagMilliseconds: 200 },
    });
    context.after(() => target.stop());
    const agent = new http.Agent({ keepAlive: true });
    context.after(() => agent.destroy());
    await harness.call(vm.port, { agent });
    const stream = harness.call(vm.port, { path: "/fines/stream" });
    await harness.waitFor(() => open.length === 1);

    let stopped = false;
    const stop = vm.services.stop().then(() => {
      stopped = true;
    });
    assert.equal(vm.services.state, "draining");
    const late = await harness.call(vm.port);
    assert.deepEqual([late.body, late.headers.connection], ["done", "close"]);
    const kept = await harness.call(vm.port, { agent });
    assert.deepEqual([kept.body, kept.headers.connection], ["done", "close"]);
    await harness.waitFor(async () => await harness.call(vm.port).then(() => false, () => true));
    // Longer than the gateway waits for connections without a request.
    await new Promise((resolve) => setTimeout(resolve, 2_200));
    assert.equal(stopped, false);
    open[0]?.end(" ended");
    assert.equal((await stream).body, "begun ended");
    await stop;
  });

  test.it("sends the responses that have ended to a caller that has not read them", async (context) => {
    // More than the buffers of a connection on loopback hold while its reader does not read.
    const requests = 500;
    const body = "x".repeat(16_000);
    const target = await harness.startTarget((_request, response) => {
      response.writeHead(200, { "content-length": body.length }).end(body);
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(() => target.stop());
    const caller = net.connect(vm.port, "127.0.0.1");
    context.after(() => caller.destroy());
    const request =
      `GET /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`;
    caller.write(request.repeat(requests));
    await harness.waitFor(async () =>
      await vm.getCount("hemlockwalk_target_calls_total", { result: "success" }) === requests
    );
    assert.ok(await vm.getCount("hemlockwalk_running_requests") > 0);
    const stop = vm.services.stop();
    await new Promise((resolve) => setTimeout(resolve, 100));
    const chunks: Buffer[] = [];
    let closed = false;
    caller.on("data", (chunk) => chunks.push(chunk));
    caller.on("error", () => {});
    caller.on("close", () => closed = true);
    await harness.waitFor(() => closed);
    const text = Buffer.concat(chunks).toString("latin1");
    assert.equal(text.split(`\r\n\r\n${body}`).length - 1, requests);
    await stop;
  });

  test.it("does not wait for queued responses on a closed connection", async (context) => {
    let begun = 0;
    let cancelled = 0;
    const target = await harness.startTarget((_request, response) => {
      begun++;
      response.on("close", () => cancelled++);
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(() => target.stop());
    const request =
      `GET /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`;
    const socket = net.connect(vm.port, "127.0.0.1");
    socket.write(request.repeat(3));
    await harness.waitFor(() => begun === 3);
    socket.destroy();
    await harness.waitFor(() => cancelled === 3);
    assert.equal(await vm.getCount("hemlockwalk_running_requests"), 0);
    await vm.services.stop();
  });

  test.it("loses none of the requests that arrive during the stop", async (context) => {
    const target = await harness.startTarget((_request, response) => {
      setTimeout(() => response.end("done"), 10);
    });
    const vm = await harness.startVm({
      targets: [target.address],
      // Must exceed the time that the callers below need, even on a slow machine.
      listener: { drainLagMilliseconds: 2_000 },
    });
    context.after(() => target.stop());
    const agent = new http.Agent({ keepAlive: true, maxSockets: 4 });
    context.after(() => agent.destroy());
    let draining = false;
    let served = 0;
    const callers = Array.from({ length: 4 }, async () => {
      // Callers continue until the balancer would have stopped sending them to this VM.
      while (!draining) {
        assert.equal((await harness.call(vm.port, { agent })).body, "done");
        served++;
      }
    });
    await harness.waitFor(() => served > 8);
    const before = served;
    const stop = vm.services.stop();
    await harness.waitFor(() => served > before + 8);
    draining = true;
    await Promise.all(callers);
    await stop;
  });
});
