/**
 * Guards against a health check that takes a status for one of a healthy target that no final
 * response has.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as probes from "../src/http_probe.ts";

async function check(status: string): Promise<boolean> {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(`HTTP/1.1 ${status} Status\r\nContent-Length: 0\r\n\r\n`));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  try {
    const target = { id: model.createTargetId("target"), address: `127.0.0.1:${port}` };
    return await new probes.HttpProbe().check(target as model.Target, new AbortController().signal);
  } finally {
    server.close();
  }
}

test.describe("the health check over HTTP", () => {
  for (const status of ["000", "001", "042", "099", "199", "500", "503", "600", "999"]) {
    test.test(`a target that responds with ${status} counts as healthy`, async () => {
      assert.equal(await check(status), false);
    });
  }

  for (const status of ["200", "204", "302", "404", "499"]) {
    test.test(`a target that responds with ${status} counts as unhealthy`, async () => {
      assert.equal(await check(status), true);
    });
  }
});
