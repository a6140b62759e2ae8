/**
 * Guards against requests that are cut off in a stopping VM that was busy or stood still, since they
 * were sent when it should have closed.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

/** Time after the stop signal from which requests are late, with the grace period below. */
const LATE_AFTER_MILLISECONDS = 3_000;
const LONG_GRACE_MILLISECONDS = 6_000;

function blockEventLoop(endsAt: number): void {
  while (performance.now() < endsAt) {
    // Blocks the event loop.
  }
}

test.test("a request begins that is sent too late, since the VM was busy and has not closed", async () => {
  const vm = new harness.TestVm({
    name: "vm",
    store: new harness.MemoryStore(),
    seeds: [],
    bounds: { ...harness.BOUNDS, graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  let stopped: Promise<void> | undefined;
  try {
    const routes = [
      harness.createRoute({ objectiveMilliseconds: 400, timeoutMilliseconds: 20_000 }),
    ];
    await vm.start(1, harness.createDeclarations(1, { routes }));
    const caller = new raw.RawCaller(vm);
    caller.send(raw.encodeRequest({ id: "first" }));
    await harness.waitFor(() => caller.listAnswers().length === 1, "the first one is answered");
    const [target] = vm.targets;
    assert.ok(target !== undefined);
    target.behaviour = () => {};
    const lateAt = kernel.getMonotonicMilliseconds() + LATE_AFTER_MILLISECONDS;
    stopped = vm.stop();
    await kernel.sleep(lateAt - 250 - kernel.getMonotonicMilliseconds());
    blockEventLoop(lateAt + 100);
    caller.send(raw.encodeRequest({ id: "late" }));
    const answers = await caller.readAnswers(2);
    caller.close();
    assert.deepEqual(answers.map(({ id, status }) => [id, status]), [["first", 200], [
      "late",
      503,
    ]]);
    assert.equal(target.requests.length, 1);
    await stopped;
  } finally {
    await (stopped ?? vm.stop());
  }
});
