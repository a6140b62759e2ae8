/**
 * Error responses of targets that are withheld from the caller because another attempt may succeed.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as harness from "./harness.ts";

const busy: http.RequestListener = (_request, response) => {
  response.writeHead(503, { "x-part": "seven" }).end("busy");
};

async function startVm(
  context: test.TestContext,
  handlers: readonly http.RequestListener[],
  service: harness.Declaration["service"] = {},
): Promise<harness.TestVm> {
  const servers = await Promise.all(handlers.map((handler) => harness.startTarget(handler)));
  const vm = await harness.startVm({
    targets: servers.map(({ address }) => address),
    route: { timeoutMilliseconds: 4_000 },
    service,
  });
  context.after(async () => {
    await vm.services.stop();
    await Promise.all(servers.map((server) => server.stop()));
  });
  return vm;
}

function checkBusy({ status, headers, body }: harness.CallerResult): void {
  assert.deepEqual([status, headers["x-part"], body], [503, "seven", "busy"]);
  assert.equal(headers["hemlockwalk-run"], undefined);
}

test.describe("an error response of a target", () => {
  test.it("is replaced by a refusal if the retry gets no slot", async (context) => {
    const open: http.ServerResponse[] = [];
    const vm = await startVm(
      context,
      [(_request, response) => open.push(response), busy],
      { slots: 1 },
    );
    const write = harness.call(vm.port, { method: "POST" });
    await harness.waitFor(() => open.length === 1);
    checkBusy(await harness.call(vm.port));
    open[0]?.end("write");
    assert.equal((await write).body, "write");
    assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "server_error" }), 1);
  });

  test.it("is replaced by a refusal if the retry fails", async (context) => {
    const vm = await startVm(context, [busy, (request) => request.socket.resetAndDestroy()]);
    checkBusy(await harness.call(vm.port));
    assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "server_error" }), 1);
    assert.equal(
      await vm.getCount("hemlockwalk_not_retried_total", { reason: "no_other_target" }),
      1,
    );
  });

  test.it("is replaced by a refusal if the response to the retry has no length", async (context) => {
    const vm = await startVm(context, [busy, (request) => {
      request.socket.end("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    }]);
    checkBusy(await harness.call(vm.port));
    assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "server_error" }), 1);
  });

  test.it("is replaced by a refusal if the retry's chunks are too many for HTTP/1.0", async (context) => {
    const vm = await startVm(context, [busy, (_request, response) => {
      response.write("x".repeat(200_000));
      response.end("x".repeat(200_000));
    }]);
    const { text } = await harness.sendRaw(vm.port, [
      `GET /fines HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
    ]);
    assert.match(text, /^HTTP\/1\.1 503 /);
    assert.ok(text.endsWith("\r\n\r\nbusy"), text);
  });

  test.it("is replaced by a refusal if the deadline comes while the retry runs", async (context) => {
    const open: http.IncomingMessage[] = [];
    const vm = await startVm(context, [busy, (request) => open.push(request)]);
    checkBusy(
      await harness.call(vm.port, { headers: { "hemlockwalk-timeout-milliseconds": "600" } }),
    );
    await harness.waitFor(() => open[0]?.socket.destroyed === true);
  });

  test.it("is replaced by a refusal if the deadline comes while the retry waits", async (context) => {
    const open: http.ServerResponse[] = [];
    const vm = await startVm(
      context,
      [(_request, response) => open.push(response), busy],
      { slots: 1 },
    );
    const write = harness.call(vm.port, { method: "POST" });
    await harness.waitFor(() => open.length === 1);
    // Shorter than a retry waits for a slot.
    checkBusy(
      await harness.call(vm.port, { headers: { "hemlockwalk-timeout-milliseconds": "300" } }),
    );
    open[0]?.end("write");
    assert.equal((await write).body, "write");
  });

  test.it("reaches a caller whose key was withdrawn while the retry runs", async (context) => {
    let retries = 0;
    const vm = await startVm(context, [busy, () => retries++]);
    const answer = harness.call(vm.port);
    await harness.waitFor(() => retries === 1);
    vm.configuration.publish({ targets: [], keys: {} });
    assert.equal(harness.getReason(await answer), "key_withdrawn");
  });

  test.it("is passed on although the retry is answered", async (context) => {
    const vm = await startVm(context, [busy, (_request, response) => response.end("done")]);
    const { status, body } = await harness.call(vm.port);
    assert.deepEqual([status, body], [200, "done"]);
  });

  test.it("loses a part, its trailers or its chunks when it is passed on later", async (context) => {
    const vm = await startVm(context, [
      (_request, response) => {
        response.writeHead(502, { trailer: "x-sum" });
        response.write("a".repeat(30_000));
        setTimeout(() => {
          response.addTrailers({ "x-sum": "9" });
          response.end("b".repeat(30_000));
        }, 20);
      },
      (request) => request.socket.resetAndDestroy(),
    ]);
    const { status, body, trailers } = await harness.call(vm.port);
    assert.equal(status, 502);
    assert.ok(body === "a".repeat(30_000) + "b".repeat(30_000), `${body.length} bytes`);
    assert.deepEqual(trailers, { "x-sum": "9" });
  });

  test.it("that is too long to be kept is not retried", async (context) => {
    const vm = await startVm(context, [
      (_request, response) => response.writeHead(503).end("x".repeat(100_000)),
      (_request, response) => response.end("done"),
    ]);
    assert.equal((await harness.call(vm.port)).body, "done");
  });

  test.it("reaches a caller of HTTP/1.0 in chunks", async (context) => {
    const vm = await startVm(context, [
      (_request, response) => {
        response.writeHead(503, { "x-part": "seven" });
        response.write("bu");
        response.end("sy");
      },
      (request) => request.socket.resetAndDestroy(),
    ]);
    const { text } = await harness.sendRaw(vm.port, [
      `GET /fines HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
    ]);
    assert.match(text, /^HTTP\/1\.1 503 /);
    assert.match(text, /\r\ncontent-length: 4\r\n/i);
    assert.ok(text.endsWith("\r\n\r\nbusy"), text);
  });
});
