/**
 * The weighted fair queue on a simulated service.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as limits from "../src/mod.ts";
import * as simulation from "./queue_simulation.ts";

const SERVICE = model.createServiceId("booking");
const SEED = 11;
const SLOTS = 12;

/** Requests per second that the simulated service serves when all its slots are busy. */
const CAPACITY_PER_SECOND = 600;

/** A service whose free slots the test sets. */
class ManualSlots {
  free = 0;
  readonly started: string[] = [];

  enter(
    queue: limits.FairQueue,
    workspace: string,
    deadlineMilliseconds: number,
    signal = new AbortController().signal,
  ): ReturnType<typeof queue.enter<true>> {
    return queue.enter<true>({
      service: SERVICE,
      workspace: model.createWorkspaceId(workspace),
      weight: 1,
      deadlineMilliseconds,
      signal,
      tryAcquire: () => {
        if (this.free === 0) {
          return undefined;
        }
        this.free--;
        this.started.push(workspace);
        return true;
      },
    });
  }
}

test.describe("weighted fair queue", () => {
  let clock: kernelTesting.TestClock;
  let queue: limits.WeightedFairQueue;

  test.beforeEach(() => {
    clock = new kernelTesting.TestClock();
    queue = new limits.WeightedFairQueue(new kernel.Metrics());
  });
  test.afterEach(() => {
    clock.restore();
  });

  async function measureOthers(factor: number): Promise<simulation.SenderResult> {
    const simulated = new simulation.QueueSimulation(
      clock,
      new limits.WeightedFairQueue(new kernel.Metrics()),
      SLOTS,
      SEED,
    );
    const ratePerSecond = 0.6 * CAPACITY_PER_SECOND / 8;
    const senders = Array.from({ length: 8 }, (_, index) => ({
      workspace: `workspace-${index}`,
      group: index === 0 ? "first" : "others",
      ratePerSecond: index === 0 ? ratePerSecond * factor : ratePerSecond,
      weight: 1,
    }));
    await simulated.run(senders, 30_000);
    return kernel.getDefined(simulated.results.get("others"), "The others sent requests.");
  }

  test.it("moves the others' p99 by under a tenth when one sends five times its rate", async () => {
    const baseline = await measureOthers(1);
    const overloaded = await measureOthers(5);
    const before = baseline.latency.getQuantileMilliseconds(0.99);
    const after = overloaded.latency.getQuantileMilliseconds(0.99);
    assert.ok(after < 1.1 * before, `p99 went from ${before} to ${after} ms`);
    assert.equal(overloaded.refused, 0);
  });

  test.it("shares a full service by weight", async () => {
    const simulated = new simulation.QueueSimulation(clock, queue, SLOTS, SEED);
    await simulated.run([
      { workspace: "city", group: "inspection", ratePerSecond: 600, weight: 3 },
      { workspace: "city", group: "permit", ratePerSecond: 600, weight: 1 },
    ], 20_000);
    const inspection = simulated.results.get("inspection")!.served;
    const permit = simulated.results.get("permit")!.served;
    assert.ok(inspection > 2.5 * permit, `${inspection} against ${permit}`);
    assert.ok(permit > 0.2 * inspection, `${inspection} against ${permit}`);
  });

  test.it("lets a cancelled request leave at once", async () => {
    const slots = new ManualSlots();
    const caller = new AbortController();
    const deadline = kernel.getMonotonicMilliseconds() + 1_000;
    const gone = slots.enter(queue, "a", deadline, caller.signal);
    const waiting = slots.enter(queue, "a", deadline);
    caller.abort();
    assert.equal((await gone)._unsafeUnwrapErr().kind, "cancelled");
    slots.free = 1;
    queue.notifyCapacity(SERVICE);
    assert.ok((await waiting).isOk());
  });

  test.it("hides from optional requests that others wait for a slot", async () => {
    for (const waitingQueue of [queue, new limits.ArrivalOrderQueue()]) {
      const slots = new ManualSlots();
      assert.equal(waitingQueue.hasWaiting(SERVICE), false);
      const waiting = slots.enter(waitingQueue, "a", kernel.getMonotonicMilliseconds() + 1_000);
      assert.equal(waitingQueue.hasWaiting(SERVICE), true);
      slots.free = 1;
      waitingQueue.notifyCapacity(SERVICE);
      assert.ok((await waiting).isOk());
      assert.equal(waitingQueue.hasWaiting(SERVICE), false);
    }
  });

  test.it("refuses at once when the wait would pass the deadline, and says when to retry", async () => {
    const slots = new ManualSlots();
    const late = kernel.getMonotonicMilliseconds() + 60_000;
    for (let request = 0; request < 30; request++) {
      void slots.enter(queue, "a", late);
    }
    // The queue estimates the start interval of the service from one start every 100 ms.
    for (let start = 0; start < 5; start++) {
      await clock.advance(100);
      slots.free = 1;
      queue.notifyCapacity(SERVICE);
    }
    const now = kernel.getMonotonicMilliseconds();
    const refusal = (await slots.enter(queue, "a", now + 1_000))._unsafeUnwrapErr();
    assert.equal(kernel.getMonotonicMilliseconds(), now);
    assert.equal(refusal.kind, "queue_timeout");
    assert.ok(refusal.retryAfterMilliseconds >= 2_000, `${refusal.retryAfterMilliseconds} ms`);
    // A request of another workspace does not wait behind all of them.
    const other = slots.enter(queue, "b", now + 1_000);
    slots.free = 2;
    queue.notifyCapacity(SERVICE);
    assert.ok((await other).isOk());
    assert.ok(slots.started.includes("b"));
  });

  test.it("bounds the queue of a workspace and of a service", async () => {
    const bounded = new limits.WeightedFairQueue(new kernel.Metrics(), {
      maximumPerWorkspace: 2,
      maximumPerService: 3,
    });
    const slots = new ManualSlots();
    const late = kernel.getMonotonicMilliseconds() + 60_000;
    void slots.enter(bounded, "a", late);
    void slots.enter(bounded, "a", late);
    assert.equal((await slots.enter(bounded, "a", late))._unsafeUnwrapErr().kind, "queue_full");
    void slots.enter(bounded, "b", late);
    assert.equal((await slots.enter(bounded, "c", late))._unsafeUnwrapErr().kind, "queue_full");
  });
});
