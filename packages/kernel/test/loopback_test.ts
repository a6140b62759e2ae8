/**
 * Tests of the ports that test processes claim.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as workers from "node:worker_threads";
import * as kernelTesting from "@hemlockwalk/kernel/testing";

const CLAIMS = 40;

/** Claims ports with a copy of the module of its own, which begins its search at the same port. */
function claimElsewhere(): Promise<number[]> {
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

test.test("a claimed port is claimed by nobody else, and nothing listens there", async () => {
  const [elsewhere, here] = await Promise.all([
    claimElsewhere(),
    Promise.all(Array.from({ length: CLAIMS }, () => kernelTesting.claimPort())),
  ]);
  assert.equal(new Set([...elsewhere, ...here]).size, 2 * CLAIMS);
  const [port] = here;
  assert.ok(port !== undefined);
  const code = await new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code));
    socket.once("connect", () => resolve("connected"));
  });
  assert.equal(code, "ECONNREFUSED");
});
