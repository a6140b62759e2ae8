/**
 * Guards against requests that have arrived at a VM and get no answer, or the VM's own in place of
 * their target's, since a timer of the VM runs before input that a busy event loop has not handled
 * yet. A title names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import process from "node:process";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const GRACE_MILLISECONDS = 6_000;
const CLOSES_AFTER_MILLISECONDS = 2_800;
const CUT_OFF_AFTER_MILLISECONDS = 5_600;

/** Time that a connection without a request has from the close on. */
const FIRST_REQUEST_MILLISECONDS = 500;

/** Shorter than what counts as a standstill. */
const BUSY_MILLISECONDS = 150;

const ROUTES = [harness.createRoute({ timeoutMilliseconds: 20_000 })];

function blockEventLoop(endsAt: number): void {
  while (performance.now() < endsAt) {
    // Blocks the event loop.
  }
}

async function sleepUntil(time: number): Promise<void> {
  await kernel.sleep(time - kernel.getMonotonicMilliseconds());
}

/** Runs an action at a time, and then blocks the event loop, so that expired timers run next. */
function blockAt(time: number, run: () => void, endsAt: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(() => {
      run();
      blockEventLoop(endsAt);
      resolve();
    }, time - kernel.getMonotonicMilliseconds());
  });
}

/** Runs a test on a VM; what it returns is awaited before the end. */
async function withVm(
  run: (vm: harness.TestVm, stop: () => number) => Promise<void>,
  declared = harness.createDeclarations(1, { routes: ROUTES }),
): Promise<void> {
  const vm = new harness.TestVm({
    name: "vm",
    store: new harness.MemoryStore(),
    seeds: [],
    bounds: { ...harness.BOUNDS, graceMilliseconds: GRACE_MILLISECONDS },
  });
  let stopped: Promise<void> | undefined;
  try {
    await vm.start(1, declared);
    await run(vm, () => {
      stopped = vm.stop();
      return kernel.getMonotonicMilliseconds();
    });
    await stopped;
  } finally {
    await (stopped ?? vm.stop());
  }
}

async function openKept(vm: harness.TestVm): Promise<raw.RawCaller> {
  const caller = new raw.RawCaller(vm);
  caller.send(raw.encodeRequest({ id: "first" }));
  await harness.waitFor(() => caller.listAnswers().length === 1, "the first one is answered");
  return caller;
}

test.describe("input that arrives while the event loop is busy", { concurrency: 1 }, () => {
  for (const isHalf of [false, true]) {
    const what = isHalf ? "half a request" : "a request";
    test.it(`${what} on a kept connection is dropped at the close of a stop`, async () => {
      await withVm(async (vm, stop) => {
        const caller = await openKept(vm);
        const closesAt = stop() + CLOSES_AFTER_MILLISECONDS;
        const bytes = raw.encodeRequest({ id: "second" });
        const send = () => caller.send(bytes.slice(0, isHalf ? 30 : undefined));
        await blockAt(closesAt - BUSY_MILLISECONDS, send, closesAt + 20);
        if (isHalf) {
          await kernel.sleep(100);
          caller.send(bytes.slice(30));
        }
        const answers = await caller.readAnswers(2);
        caller.close();
        assert.equal(answers.length, 2, "the second request has an answer");
        assert.deepEqual([answers[1]?.id, answers[1]?.isWhole], ["second", true]);
      });
    });
  }

  test.it("the first request of a connection is dropped after the close of a stop", async () => {
    await withVm(async (vm, stop) => {
      const closesAt = stop() + CLOSES_AFTER_MILLISECONDS;
      await sleepUntil(closesAt - 100);
      const caller = new raw.RawCaller(vm);
      const endsAt = closesAt + FIRST_REQUEST_MILLISECONDS;
      const send = () => caller.send(raw.encodeRequest({ id: "first" }));
      await blockAt(endsAt - BUSY_MILLISECONDS, send, endsAt + 50);
      const answers = await caller.readAnswers(1);
      caller.close();
      assert.equal(answers.length, 1, "the request has an answer");
    });
  });

  test.it("a request on a kept connection is dropped at its idle timeout", async () => {
    const idleMilliseconds = 1_000;
    const limits = { ...harness.createDeclarations(1).limits, idleMilliseconds };
    await withVm(async (vm) => {
      const caller = await openKept(vm);
      const idleSince = kernel.getMonotonicMilliseconds();
      // Callers use connections for up to four fifths of the limit. The runtime may add a second.
      const send = () => caller.send(raw.encodeRequest({ id: "second" }));
      await blockAt(
        idleSince + idleMilliseconds * 0.79,
        send,
        idleSince + idleMilliseconds + 1_100,
      );
      const answers = await caller.readAnswers(2);
      caller.close();
      assert.equal(answers.length, 2, "the second request has an answer");
    }, harness.createDeclarations(1, { routes: ROUTES, limits }));
  });

  test.it("a target's response is replaced by the VM's own at the cut-off", async () => {
    await withVm(async (vm, stop) => {
      const caller = await openKept(vm);
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) => {
        setTimeout(() => {
          harness.answerSuccess(request, response);
          blockEventLoop(cutOffAt + 60);
        }, cutOffAt - BUSY_MILLISECONDS - kernel.getMonotonicMilliseconds());
      };
      const cutOffAt = stop() + CUT_OFF_AFTER_MILLISECONDS;
      caller.send(raw.encodeRequest({ id: "second" }));
      const answers = await caller.readAnswers(2);
      caller.close();
      assert.deepEqual(answers.map(({ status }) => status), [200, 200]);
    });
  });

  test.it("a target's response is replaced by the VM's own at the route's timeout", async () => {
    const timeoutMilliseconds = 1_000;
    const routes = [harness.createRoute({ timeoutMilliseconds })];
    await withVm(async (vm) => {
      const caller = await openKept(vm);
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) => {
        const endsAt = kernel.getMonotonicMilliseconds() + timeoutMilliseconds;
        setTimeout(() => {
          harness.answerSuccess(request, response);
          blockEventLoop(endsAt + 20);
        }, timeoutMilliseconds - BUSY_MILLISECONDS);
      };
      caller.send(raw.encodeRequest({ id: "second" }));
      const answers = await caller.readAnswers(2);
      caller.close();
      assert.deepEqual(answers.map(({ status }) => status), [200, 200]);
    }, harness.createDeclarations(1, { routes }));
  });

  test.it("connections that the system has accepted are reset at the close of a stop", async () => {
    await withVm(async (vm, stop) => {
      const closesAt = stop() + CLOSES_AFTER_MILLISECONDS;
      await sleepUntil(closesAt - BUSY_MILLISECONDS);
      const callers = Array.from({ length: 12 }, () => new raw.RawCaller(vm));
      callers.forEach((caller, index) => caller.send(raw.encodeRequest({ id: `new-${index}` })));
      // The connections are requested in the next tick.
      await Promise.resolve();
      await new Promise<void>((resolve) => process.nextTick(resolve));
      blockEventLoop(closesAt + 20);
      await Promise.all(callers.map((caller) => caller.readAnswers(1)));
      const reset = callers.filter(({ isReset }) => isReset).length;
      const answered = callers.filter((caller) => caller.listAnswers().length === 1).length;
      callers.forEach((caller) => caller.close());
      assert.deepEqual({ answered, reset }, { answered: 12, reset: 0 });
    });
  });
});
