/**
 * Guards against requests that are given up at once because they have more time than a timer of
 * Node.js can wait: 2,147,483,647 ms. A timer with a longer delay expires after 1 ms.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

const WORK_MILLISECONDS = 150;

/** Longest delay of a timer. */
const MAX_DELAY_MILLISECONDS = 2_147_483_647;

/** Longer than what is buffered of a response. */
const LONG_BYTES = 400_000;

const ROUTE = { pathPrefix: "/", objectiveMilliseconds: 2_000 };

/** Deadlines of the caller and timeouts of the route; undefined for none. */
const LIMITS: readonly (readonly [string, number | undefined, number | undefined])[] = [
  ["a deadline of a month", 30 * 24 * 3_600_000, undefined],
  ["the longest deadline that a header states", 999_999_999_999, undefined],
  ["a deadline just beyond the longest delay", MAX_DELAY_MILLISECONDS + 6, undefined],
  ["the longest delay as the deadline", MAX_DELAY_MILLISECONDS + 5, undefined],
  ["a timeout of a month", undefined, 30 * 24 * 3_600_000],
  ["a deadline and a timeout of a month", 30 * 24 * 3_600_000, 30 * 24 * 3_600_000],
];

function createDeclared(isIdempotent: boolean, timeoutMilliseconds: number | undefined) {
  return harness.createDeclarations(1, {
    routes: [harness.createRoute({ ...ROUTE, isIdempotent, timeoutMilliseconds })],
  });
}

test.describe("a running request is given up at once", { concurrency: 4 }, () => {
  for (const [limit, deadline, timeout] of LIMITS) {
    for (const isIdempotent of [false, true]) {
      const kind = isIdempotent ? "an idempotent one" : "one that may not run twice";
      test.test(`${kind} with ${limit}`, async () => {
        await harness.withVm(1, async (vm) => {
          vm.targets.forEach((target) =>
            target.behaviour = (request, response) =>
              void setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS)
          );
          // A deadline that cannot be read is none.
          const headers = { [PROFILE.deadline]: String(deadline ?? "none") };
          const answer = await vm.call({ headers });
          assert.deepEqual([answer.status, answer.body], [200, "done"]);
          const stated = Number(vm.targets[0]?.requests[0]?.headers[PROFILE.deadline]);
          assert.ok(stated > 0 && stated <= MAX_DELAY_MILLISECONDS, `${stated} ms for the target`);
        }, createDeclared(isIdempotent, timeout));
      });
    }

    test.test(`a long response to one with ${limit} breaks off at once`, async () => {
      await harness.withVm(1, async (vm) => {
        vm.targets.forEach((target) =>
          target.behaviour = (request, response) => {
            const head = { ...harness.createAnswerHeaders(request), "Content-Length": LONG_BYTES };
            response.writeHead(200, head);
            response.write("x".repeat(LONG_BYTES - 1));
            setTimeout(() => response.end("x"), WORK_MILLISECONDS);
          }
        );
        const headers = { [PROFILE.deadline]: String(deadline ?? "none") };
        const answer = await vm.call({ headers });
        assert.deepEqual(
          [answer.status, answer.isComplete, answer.body.length],
          [200, true, LONG_BYTES],
        );
      }, createDeclared(false, timeout));
    });
  }
});
