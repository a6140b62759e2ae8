/**
 * Tests that requests that must not be repeated leave a target that hangs.
 *
 * Guards against evidence that comes only when a call has reached its time limit: until then, each
 * further request would wait at the same target.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";

const TARGETS = 3;

const DECLARED = harness.createDeclarations(1, {
  routes: [harness.createRoute({ objectiveMilliseconds: 300, timeoutMilliseconds: 2_000 })],
});

test.test("requests leave a hanging target before the first of them has timed out", async () => {
  await harness.withVm(TARGETS, async (vm) => {
    const [hanging] = vm.targets;
    assert.ok(hanging);
    hanging.behaviour = () => {};
    const startedAt = performance.now();
    const calls: Promise<harness.CallerAnswer>[] = [];
    while (hanging.requests.length === 0) {
      assert.ok(calls.length < 100, "no request reached the hanging target");
      calls.push(vm.call());
      await kernel.sleep(20);
    }
    const firstAt = performance.now();
    const isSuspected = () =>
      vm.log.some(({ code }) => code === kernel.LogMessages.targetSuspected.code);
    await harness.waitFor(() => {
      calls.push(vm.call());
      return isSuspected();
    }, "the target is suspected");
    assert.ok(performance.now() < firstAt + 1_500, "suspected before the time limit");
    const before = hanging.requests.length;
    for (let request = 0; request < 10; request++) {
      assert.equal((await vm.call()).status, 200);
    }
    assert.ok(performance.now() < startedAt + 2_000, "before the first request timed out");
    assert.equal(hanging.requests.length, before);
    await Promise.all(calls);
  }, DECLARED);
});

test.test("a target that responds late is not suspected any more", async () => {
  await harness.withVm(1, async (vm) => {
    const [slow] = vm.targets;
    assert.ok(slow);
    slow.behaviour = (request, response, body) => {
      setTimeout(() => harness.answerSuccess(request, response), body === "" ? 700 : 0);
    };
    const codes = () => vm.log.map(({ code }) => code);
    const calls = [vm.call(), vm.call(), vm.call()];
    await harness.waitFor(
      () => codes().includes(kernel.LogMessages.targetSuspected.code),
      "the target is suspected",
    );
    for (const answer of await Promise.all(calls)) {
      assert.equal(answer.status, 200);
    }
    assert.ok(codes().includes(kernel.LogMessages.targetRecovered.code));
  }, DECLARED);
});
