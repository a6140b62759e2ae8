/**
 * Guards against requests that are cut off in a stopping VM that was busy or stood still, since they
 * were sent when it should have closed, or although their target has answered meanwhile.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as threads from "node:worker_threads";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";
import * as targetThread from "./target_thread.ts";

/** Time after the stop signal from which requests are late, with the grace period below. */
const LATE_AFTER_MILLISECONDS = 3_000;
const LONG_GRACE_MILLISECONDS = 6_000;

/** With it, a VM closes 1.7 s after the stop signal, and cuts requests off after 2.6 s. */
const SHORT_GRACE_MILLISECONDS = 3_000;
const CUT_OFF_MILLISECONDS = 2_600;

/** Times after the stop signal between which the VM is busy. */
const BUSY_FROM_MILLISECONDS = 1_900;
const BUSY_TO_MILLISECONDS = CUT_OFF_MILLISECONDS + 100;

/** Time after which a target responds, while the VM is busy. */
const RESPONDS_AFTER_MILLISECONDS = 2_200;

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

/** Runs a test on a VM whose only target responds while the event loop is blocked. */
async function withTargetThread(run: (vm: harness.TestVm) => Promise<void>): Promise<void> {
  const address = `127.0.0.1:${await testing.claimPort()}`;
  const { requestId, signature } = harness.PROFILE;
  const workerData: targetThread.TargetThreadSettings = { address, requestId, signature };
  const thread = new threads.Worker(new URL("./target_thread.js", import.meta.url), { workerData });
  const vm = new harness.TestVm({
    name: "vm",
    store: new harness.MemoryStore(),
    seeds: [],
    bounds: { ...harness.BOUNDS, graceMilliseconds: SHORT_GRACE_MILLISECONDS },
  });
  try {
    await new Promise((resolve) => thread.once("message", resolve));
    vm.store.put(fixtures.createChange("thread", 2, { address, slots: 20 }));
    const routes = [true, false].map((isIdempotent) =>
      harness.createRoute({
        id: model.createRouteId(isIdempotent ? "reads" : "writes"),
        pathPrefix: isIdempotent ? "/reads/" : "/writes/",
        isIdempotent,
        objectiveMilliseconds: 200,
        timeoutMilliseconds: 20_000,
      })
    );
    await vm.start(0, harness.createDeclarations(1, { routes }));
    await run(vm);
  } finally {
    await vm.stop();
    await thread.terminate();
  }
}

test.test("a response that arrived while its VM was busy past the cut-off is replaced", async () => {
  await withTargetThread(async (vm) => {
    const call = async (path: string) => {
      const headers = { [harness.PROFILE.deadline]: "20000" };
      const { status, body, isComplete } = await vm.call({ path, headers });
      return [status, status === 200 ? body : "", isComplete];
    };
    const wait = `wait=${RESPONDS_AFTER_MILLISECONDS}`;
    const answered = ["/reads/1", "/writes/1"].map((path) => call(`${path}?${wait}`));
    const unanswered = ["/reads/2", "/writes/2"].map((path) => call(path));
    await kernel.sleep(50);
    const stopAt = kernel.getMonotonicMilliseconds();
    const stopped = vm.stop();
    await kernel.sleep(BUSY_FROM_MILLISECONDS);
    // Behind it, the event loop runs expired timers before it looks for input.
    await new Promise((resolve) => setImmediate(resolve));
    blockEventLoop(stopAt + BUSY_TO_MILLISECONDS);
    const whole = [200, targetThread.THREAD_ANSWER, true];
    assert.deepEqual(await Promise.all(answered), [whole, whole]);
    const cutOff = [504, "", true];
    assert.deepEqual(await Promise.all(unanswered), [cutOff, cutOff]);
    await stopped;
  });
});
