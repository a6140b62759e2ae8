/**
 * Guards against attempts that must not run twice and are ended by a stop long before their time,
 * since their callers have left and no connection of a caller is open.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const GRACE_MILLISECONDS = 6_000;

/** Ends before the cut-off of the stop. */
const WORK_MILLISECONDS = 4_000;

test.test("a stop ends before an attempt whose caller has left", async () => {
  const vm = new harness.TestVm({
    name: "vm",
    store: new harness.MemoryStore(),
    seeds: [],
    bounds: { ...harness.BOUNDS, graceMilliseconds: GRACE_MILLISECONDS },
  });
  let stopped: Promise<void> | undefined;
  try {
    const routes = [harness.createRoute({ timeoutMilliseconds: 20_000 })];
    await vm.start(1, harness.createDeclarations(1, { routes }));
    const [target] = vm.targets;
    assert.ok(target !== undefined);
    let hasAnswered = false;
    target.behaviour = (request, response) => {
      setTimeout(() => {
        harness.answerSuccess(request, response);
        hasAnswered = true;
      }, WORK_MILLISECONDS);
    };
    const caller = new raw.RawCaller(vm);
    caller.send(raw.encodeRequest({ id: "only" }));
    await harness.waitFor(() => target.requests.length === 1, "the target has it");
    caller.close();
    stopped = vm.stop();
    await stopped;
    assert.ok(hasAnswered, "the process would have ended before the attempt");
  } finally {
    await (stopped ?? vm.stop());
  }
});
