/**
 * Guards against slow requests that leave no retry to requests whose target has refused them. The
 * title names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";

const TARGETS = 3;
const WARM_UP_REQUESTS = 30;

/** Slow requests at the same time, which want more retries than there are. */
const BURST = 100;
const WORK_MILLISECONDS = 6_000;

/** Requests that earn retries while the slow ones run, and those that need one. */
const EARNING_REQUESTS = 100;
const REFUSED_REQUESTS = 5;

const DECLARED = harness.createDeclarations(1, {
  routes: [
    harness.createRoute({ isIdempotent: true, attempts: 3, timeoutMilliseconds: 10_000 }),
  ],
});

test.test("slow requests that run already take the retries that refused ones need", async () => {
  await harness.withVm(TARGETS, async (vm) => {
    const call = (id: string) =>
      vm.call({
        headers: { [harness.PROFILE.requestId]: id, [harness.PROFILE.deadline]: "10000" },
      });
    for (let request = 0; request < WARM_UP_REQUESTS; request++) {
      assert.equal((await call(`warm-${request}`)).status, 200);
    }
    const refused = new Set<string>();
    for (const target of vm.targets) {
      vm.store.put(target.createChange(vm.store.revision + 1, { slots: 4 * BURST }));
      target.behaviour = (request, response) => {
        const id = String(request.headers[harness.PROFILE.requestId]);
        if (id.startsWith("slow")) {
          setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
        } else if (id.startsWith("refused") && !refused.has(id)) {
          refused.add(id);
          response.writeHead(503, {
            [harness.PROFILE.requestId]: id,
            [harness.PROFILE.notRun]: "1",
          }).end();
        } else {
          harness.answerSuccess(request, response);
        }
      };
    }
    await kernel.sleep(500);
    const slow = Array.from({ length: BURST }, (_, index) => call(`slow-${index}`));
    await kernel.sleep(1_500);
    for (let request = 0; request < EARNING_REQUESTS; request++) {
      assert.equal((await call(`earning-${request}`)).status, 200);
      await kernel.sleep(10);
    }
    const statuses: number[] = [];
    for (let request = 0; request < REFUSED_REQUESTS; request++) {
      statuses.push((await call(`refused-${request}`)).status);
    }
    const ends = await Promise.all(slow);
    const served = ends.filter(({ status }) => status === 200).length;
    assert.deepEqual(
      statuses,
      Array.from({ length: REFUSED_REQUESTS }, () => 200),
      `${served} of ${BURST} slow ones were served`,
    );
  }, DECLARED);
});
