/**
 * Guards against a running attempt that is given up since a quarantine of its request begins: other
 * targets have ended under the same content. A quarantine binds attempts that begin later.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Three targets have to end before a quarantine begins; one more is left to run the request. */
const TARGETS = 6;

/** Attempts that the test's own request may have: one that runs, and three whose targets end. */
const ATTEMPTS = 4;

/**
 * Time for which a target runs the content before it ends, longer by as much for each further one of
 * the same request: targets that end at the same moment are no evidence.
 */
const ENDS_AFTER_MILLISECONDS = 150;

const BODY = "the content under which targets end";

/** Requests from which the VM learns how long the route's requests usually take. */
const WARM_UP_REQUESTS = 30;

/** Time for which the request runs on in the quarantine. */
const RUNS_ON_MILLISECONDS = 500;

/** So long that no attempt counts as silent. */
const LONG_OBJECTIVE_MILLISECONDS = 4_000;

/** The response of the target that still runs the request. */
const OUTCOMES: Readonly<Record<string, readonly [status: number, body: string]>> = {
  "success": [200, "done"],
  "own error": [500, "failed"],
};

/** Most requests that it takes until a quarantine begins; some reach the target that goes on. */
const MAX_FURTHER_REQUESTS = 20;

const PATH = "/reads/1";

/** Sends a request with the content under which targets end, as another caller. */
function callFurther(vm: harness.TestVm): Promise<harness.CallerAnswer> {
  return vm.call({ path: PATH, body: BODY, headers: { [PROFILE.deadline]: "400" } });
}

/** Whether the VM has quarantined the content. */
function isQuarantined(vm: harness.TestVm): boolean {
  return vm.log.some(({ code }) => code === kernel.LogMessages.requestQuarantined.code);
}

/**
 * Runs a test with a request that the first target that receives the content keeps, while all others
 * end under it.
 */
async function runQuarantined(
  isIdempotent: boolean,
  objectiveMilliseconds: number,
  stops: boolean,
  outcome: string,
  startQuarantine: (vm: harness.TestVm) => Promise<void>,
): Promise<void> {
  const [status, body] = OUTCOMES[outcome] ?? assert.fail();
  const vm = new harness.TestVm();
  let stopped: Promise<void> | undefined;
  try {
    const route = harness.createRoute({
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent,
      attempts: ATTEMPTS,
      objectiveMilliseconds,
      timeoutMilliseconds: 10_000,
    });
    await vm.start(TARGETS, harness.createDeclarations(1, { routes: [route] }));
    for (let request = 0; request < WARM_UP_REQUESTS; request++) {
      assert.equal((await vm.call({ path: PATH })).status, 200);
    }
    let running: harness.TestTarget | undefined;
    let ending = 0;
    let respond: (status: number, body: string) => void = assert.fail;
    for (const target of vm.targets) {
      target.behaviour = (request, response, received) => {
        if (received !== BODY) {
          harness.answerSuccess(request, response);
        } else if (running === undefined) {
          running = target;
          respond = (given, text) =>
            void response.writeHead(given, harness.createAnswerHeaders(request)).end(text);
        } else if (running !== target) {
          const isOwn = request.headers[PROFILE.requestId] === "running";
          ending += isOwn ? 1 : 0;
          setTimeout(() => target.crash(), ENDS_AFTER_MILLISECONDS * Math.max(1, ending));
        }
      };
    }
    let hasAnswer = false;
    const called = vm.call({
      path: PATH,
      body: BODY,
      headers: { [PROFILE.requestId]: "running", [PROFILE.deadline]: "10000" },
    }).finally(() => hasAnswer = true);
    await harness.waitFor(() => running !== undefined, "the request is passed on");
    if (stops) {
      stopped = vm.stop();
    }
    await startQuarantine(vm);
    const refused = await callFurther(vm);
    assert.deepEqual([refused.status, refused.body.includes("quarantined")], [503, true]);
    await kernel.sleep(RUNS_ON_MILLISECONDS);
    assert.equal(hasAnswer, false, "the quarantine ends the attempt");
    respond(status, body);
    const answer = await called;
    assert.deepEqual([answer.status, answer.body, answer.isComplete], [status, body, true]);
  } finally {
    await (stopped ?? vm.stop());
  }
}

test.describe("a running attempt is given up", { concurrency: 4 }, () => {
  for (const outcome of Object.keys(OUTCOMES)) {
    for (const stops of [false, true]) {
      const when = stops ? " while its VM stops" : "";
      for (const isIdempotent of [true, false]) {
        const kind = isIdempotent ? "idempotent" : "not idempotent";
        test.test(`since targets end under other requests${when} (${kind}, ${outcome})`, async () => {
          await runQuarantined(
            isIdempotent,
            LONG_OBJECTIVE_MILLISECONDS,
            stops,
            outcome,
            async (vm) => {
              for (let sent = 0; sent < MAX_FURTHER_REQUESTS && !isQuarantined(vm); sent++) {
                await callFurther(vm);
              }
            },
          );
        });
      }

      test.test(`since targets end under its other attempts${when} (${outcome})`, async () => {
        await runQuarantined(true, 400, stops, outcome, async (vm) => {
          await harness.waitFor(() => isQuarantined(vm), "the request is quarantined");
        });
      });
    }
  }
});
