/**
 * Tests of timers that let pending input be handled first.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

function blockEventLoop(milliseconds: number): void {
  const endsAt = performance.now() + milliseconds;
  while (performance.now() < endsAt) {
    // Blocks the event loop.
  }
}

test.test("input that arrives while the event loop is blocked is handled first", async () => {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const events: string[] = [];
  const socket = net.connect(port, "127.0.0.1");
  await new Promise<void>((resolve) => {
    const plain = setTimeout(() => events.push("plain timer"), 20);
    const timer = kernel.startInputTimer(() => events.push("input timer"), 20);
    socket.once("connect", () => {
      events.push("connected");
      clearTimeout(plain);
      timer.stop();
      resolve();
    });
    blockEventLoop(60);
  });
  await kernel.sleep(40);
  // The plain timer fires first, although the connection was established long before.
  assert.deepEqual(events, ["plain timer", "connected"]);
  socket.destroy();
  server.close();
});

test.test("the timer fires without input, and a stopped timer does not fire", async () => {
  let fired = 0;
  kernel.startInputTimer(() => fired++, 10);
  kernel.startInputTimer(() => fired++, 10).stop();
  await kernel.sleep(60);
  assert.equal(fired, 1);
});
