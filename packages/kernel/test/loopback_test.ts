/**
 * Tests of the ports that test processes claim, and of what ends their connections.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as workers from "node:worker_threads";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";

const CLAIMS = 40;

/** Claims ports in a worker, whose own copy of the module starts its search at the same port. */
function claimInWorker(): Promise<number[]> {
  const source = `
    const { parentPort } = require("node:worker_threads");
    import("@hemlockwalk/kernel/testing").then(async ({ claimPort }) => {
      const ports = [];
      while (ports.length < ${CLAIMS}) ports.push(await claimPort());
      parentPort.postMessage(ports);
      parentPort.once("message", () => process.exit());
    });`;
  const worker = new workers.Worker(source, { eval: true });
  return new Promise((resolve, reject) => {
    worker.once("error", reject);
    worker.once("message", (ports: number[]) => {
      resolve(ports);
      worker.unref();
    });
  });
}

test.test("a claimed port is not claimed again, and nothing listens on it", async () => {
  const [workerPorts, ownPorts] = await Promise.all([
    claimInWorker(),
    Promise.all(Array.from({ length: CLAIMS }, () => kernelTesting.claimPort())),
  ]);
  assert.equal(new Set([...workerPorts, ...ownPorts]).size, 2 * CLAIMS);
  const [port] = ownPorts;
  assert.ok(port !== undefined);
  const code = await new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code));
    socket.once("connect", () => resolve("connected"));
  });
  assert.equal(code, "ECONNREFUSED");
});

test.test("a claimed port is in use for a moment while another process looks for one", async () => {
  const ports = await Promise.all(Array.from({ length: CLAIMS }, () => kernelTesting.claimPort()));
  let isSearching = true;
  const searches = Promise.all(Array.from({ length: 4 }, claimInWorker)).finally(() => {
    isSearching = false;
  });
  while (isSearching) {
    const server = net.createServer();
    const port = ports.shift() ?? assert.fail();
    ports.push(port);
    await kernel.listen(server, `127.0.0.1:${port}`);
    await new Promise((resolve) => server.close(resolve));
    // Lets the messages of the workers arrive.
    await new Promise(setImmediate);
  }
  await searches;
});

for (const [what, isInOrder] of [["a reset", false], ["an end in order", true]] as const) {
  test.test(`${what} that arrives with the last bytes is taken for the other`, async () => {
    const server = net.createServer({ allowHalfOpen: true }, (socket) => {
      socket.once("data", () => {
        // Few enough to be read at once together with the end.
        socket.write(
          Buffer.alloc(5_000),
          () => isInOrder ? socket.end() : socket.resetAndDestroy(),
        );
      });
    });
    const port = await kernelTesting.claimPort();
    await kernel.listen(server, `127.0.0.1:${port}`);
    const client = net.connect({ host: "127.0.0.1", port, allowHalfOpen: true });
    const hasEndedInOrder = new Promise<boolean>((resolve) => {
      client.once("error", () => resolve(false));
      client.once("end", () => resolve(kernelTesting.hasEndedInOrder(client)));
    });
    client.resume();
    client.write("request");
    assert.equal(await hasEndedInOrder, isInOrder);
    client.destroy();
    server.close();
  });
}
