/**
 * Tests of requests that arrive before a VM has received its declarations and targets.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as proxy from "@hemlockwalk/proxy";
import * as harness from "./harness.ts";

async function waitForListener(vm: harness.TestVm): Promise<void> {
  while (vm.port === 0 || !(await canConnect(vm.port))) {
    await kernel.sleep(2);
  }
}

function canConnect(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.once("connect", () => resolve(true));
    socket.once("error", () => resolve(false));
    socket.once("connect", () => socket.destroy());
  });
}

/** Sends a request, and releases the declarations once the VM has accepted its head. */
async function callBeforeDeclarations(vm: harness.TestVm, release: () => void): Promise<number> {
  const outgoing = http.request({
    agent: false,
    host: "127.0.0.1",
    port: vm.port,
    method: "POST",
    path: "/bookings/1",
    headers: {
      Host: "desk.example",
      Authorization: "Bearer secret",
      Expect: "100-continue",
      [harness.PROFILE.requestId]: "early",
      [harness.PROFILE.deadline]: "3000",
    },
  });
  const answered = new Promise<http.IncomingMessage>((resolve, reject) => {
    outgoing.once("response", resolve).once("error", reject);
  });
  outgoing.flushHeaders();
  await new Promise((resolve) => outgoing.once("continue", resolve));
  release();
  outgoing.end("a pitch");
  const incoming = await answered;
  incoming.resume();
  return incoming.statusCode ?? 0;
}

test.describe("start gate", () => {
  test.test("it opens when declarations and targets are known, whichever comes first", async () => {
    for (const isTargetFirst of [true, false]) {
      const store = new declarations.DeclarationStore();
      const directory = new declarations.TargetDirectory();
      const gate = new proxy.StartGate(store, directory);
      const steps = [
        () => store.apply(fixtures.createDeclarations(1)),
        () => directory.apply(fixtures.createChange("target", 1)),
      ];
      const [first, second] = isTargetFirst ? steps.reverse() : steps;
      let passed = 0;
      const waiting = gate.wait().then(() => passed++);
      first?.();
      assert.equal(gate.isOpen, false);
      second?.();
      await waiting;
      assert.deepEqual([gate.isOpen, passed], [true, 1]);
    }
  });

  test.test("a VM that receives nothing holds no request beyond the maximum hold time", async () => {
    const clock = new testing.TestClock();
    const gate = new proxy.StartGate(
      new declarations.DeclarationStore(),
      new declarations.TargetDirectory(),
    );
    try {
      gate.start();
      const waiting = gate.wait();
      await clock.advance(proxy.MAX_HOLD_MILLISECONDS - 1);
      assert.equal(gate.isOpen, false);
      await clock.advance(1);
      await waiting;
      assert.equal(gate.isOpen, true);
    } finally {
      gate.stop();
      clock.restore();
    }
  });

  test.test("a request that arrives before the declarations is served once they have arrived", async () => {
    const store = new harness.MemoryStore();
    const readStore = store.read.bind(store);
    let release = () => {};
    const released = new Promise<void>((resolve) => release = resolve);
    store.read = () => released.then(readStore);
    const vm = new harness.TestVm({ name: "vm", store, seeds: [] });
    try {
      const started = vm.start(1);
      await waitForListener(vm);
      const [status] = await Promise.all([callBeforeDeclarations(vm, release), started]);
      assert.equal(status, 200);
      assert.equal(vm.getTrace("early").steps[0]?.["step"], "held_at_start");
    } finally {
      release();
      await vm.stop();
    }
  });
});
