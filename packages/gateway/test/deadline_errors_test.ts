/**
 * Guards against error responses of targets that are replaced by the VM's own refusal because the
 * request's time is over while another attempt runs or waits. A title names the failure.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as harness from "./harness.ts";

const busy: http.RequestListener = (_request, response) => {
  response.writeHead(503, { "x-part": "seven" }).end("busy");
};

const hang: http.RequestListener = () => undefined;

for (
  const [name, handlers] of [
    ["while its retry hangs", [busy, hang]],
    ["while the first attempt, beside which it came, hangs", [hang, busy]],
  ] as const
) {
  test.test(`an error response is lost at the deadline ${name}`, async (context) => {
    const servers = await Promise.all(handlers.map((handler) => harness.startTarget(handler)));
    const vm = await harness.startVm({
      targets: servers.map(({ address }) => address),
      route: { timeoutMilliseconds: 1_000 },
      service: {},
    });
    context.after(async () => {
      await vm.services.stop();
      await Promise.all(servers.map((server) => server.stop()));
    });
    const { status, body } = await harness.call(vm.port);
    assert.deepEqual([status, body], [503, "busy"]);
  });
}
