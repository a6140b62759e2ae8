/**
 * Tests of the kernel's stop. A title names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

/** A kernel with a service that accepts work and one behind it whose start the test ends. */
class StartWorld {
  readonly events: string[] = [];
  readonly services = new kernel.Kernel();
  endStart = () => {};
  failStart: (error: Error) => void = () => {};

  constructor() {
    const ended = new Promise<void>((resolve, reject) => {
      this.endStart = resolve;
      this.failStart = reject;
    });
    this.services.register(kernel.createServiceName<kernel.Service>("listener"), {
      start: () => void this.events.push("listener started"),
      drain: () => void this.events.push("listener drained"),
      stop: () => void this.events.push("listener stopped"),
    });
    this.services.register(kernel.createServiceName<kernel.Service>("slow"), {
      start: () => ended,
    });
  }
}

test.describe("stop of a kernel", () => {
  test.test("a stop during the start does not drain what has been accepted", async () => {
    const { services, events, endStart } = new StartWorld();
    const started = services.start();
    let hasStopped = false;
    const stopped = services.stop().then(() => hasStopped = true);
    await kernel.sleep(10);
    assert.deepEqual([services.state, hasStopped], ["starting", false]);
    endStart();
    await started;
    await stopped;
    assert.deepEqual(events, ["listener started", "listener drained", "listener stopped"]);
    assert.equal(services.state, "stopped");
  });

  test.test("a stop during a start that fails changes how it ends", async () => {
    const { services, events, failStart } = new StartWorld();
    const started = services.start();
    const stopped = services.stop();
    failStart(new Error("in use"));
    await assert.rejects(started, /in use/);
    await stopped;
    assert.deepEqual(events, ["listener started", "listener stopped"]);
    assert.equal(services.state, "stopped");
  });

  test.test("a second stop ends before the drain or repeats it", async () => {
    const { services, events, endStart } = new StartWorld();
    endStart();
    await services.start();
    const stopped = services.stop();
    assert.equal(services.state, "draining");
    assert.equal(services.stop(), stopped);
    await stopped;
    assert.equal(services.stop(), stopped);
    assert.deepEqual(events, ["listener started", "listener drained", "listener stopped"]);
  });

  test.test("a stop without a start waits for one", async () => {
    const { services, events } = new StartWorld();
    await services.stop();
    assert.deepEqual(events, []);
  });
});
