/**
 * Tests of failed requests that may not be sent to another target, since their VM stops. A title
 * names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";

/** More than is buffered of a response. */
const ERROR_BYTES = 400_000;

/** Later than the close of the listener. */
const FAILS_AFTER_MILLISECONDS = 3_200;

/** The request's time is over after the cut-off. */
const TIMEOUT_MILLISECONDS = 10_000;

/** More than is left until the cut-off when the first target has failed. */
const OBJECTIVE_MILLISECONDS = 4_000;

test.test("a long error that takes the place of a retry has a gap", async () => {
  const vm = new harness.TestVm();
  const declared = harness.createDeclarations(1, {
    routes: [harness.createRoute({
      isIdempotent: true,
      objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    })],
  });
  let stopped: Promise<void> | undefined;
  try {
    await vm.start(2, declared);
    for (const target of vm.targets) {
      target.behaviour = (request, response) => {
        setTimeout(() => {
          response.writeHead(500, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": ERROR_BYTES,
          });
          response.end("x".repeat(ERROR_BYTES));
        }, FAILS_AFTER_MILLISECONDS);
      };
    }
    const headers = { [harness.PROFILE.deadline]: String(TIMEOUT_MILLISECONDS) };
    const called = vm.call({ headers });
    await kernel.sleep(50);
    stopped = vm.stop();
    const answer = await called;
    assert.deepEqual(
      [answer.status, answer.isComplete, answer.body.length],
      [500, true, ERROR_BYTES],
    );
    assert.equal(vm.countRequests(), 1);
  } finally {
    await (stopped ?? vm.stop());
  }
});
