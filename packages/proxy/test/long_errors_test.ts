/**
 * Guards against long error responses of targets, whose rest is unread while another attempt is
 * looked for: the error breaks off meanwhile and its caller gets nothing, or an attempt is lost.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Just more than is buffered of a response. The rest fits into the buffer of a stream. */
const SENT_BYTES = 263_000;
const STATED_BYTES = 270_000;

const READ = "read";
const OBJECTIVE_MILLISECONDS = 4_000;

/** How the rest of the error is delimited. */
const FRAMINGS: Readonly<Record<string, http.OutgoingHttpHeaders>> = {
  "with a length": { "Content-Length": STATED_BYTES },
  "in chunks": {},
};

/** A request that has failed at the first of two targets, of which the other is in use. */
interface Situation {
  readonly vm: harness.TestVm;
  readonly called: Promise<harness.CallerAnswer>;
  /** Sends the rest of the error, or breaks it off. */
  readonly response: http.ServerResponse;
  /** Lets the other target respond to what it has, and to what follows. */
  readonly release: () => void;
}

async function withFailedRequest(
  framing: http.OutgoingHttpHeaders,
  run: (situation: Situation) => Promise<void>,
): Promise<void> {
  const store = new harness.MemoryStore();
  const vm = new harness.TestVm({ name: "vm", store, seeds: [] });
  const held: (() => void)[] = [];
  let isReleased = false;
  const release = () => {
    isReleased = true;
    held.splice(0).forEach((respond) => respond());
  };
  const targets = ["first", "second"].map((id) => new harness.TestTarget(id));
  let failed: http.ServerResponse | undefined;
  try {
    for (const [index, target] of targets.entries()) {
      await target.start();
      store.put(target.createChange(index + 2, { slots: 1 }));
      target.behaviour = (request, response) => {
        if (request.headers[PROFILE.requestId] === READ && failed === undefined) {
          failed = response;
        } else if (isReleased) {
          harness.answerSuccess(request, response);
        } else {
          held.push(() => harness.answerSuccess(request, response));
        }
      };
    }
    const routes = [
      harness.createRoute({ timeoutMilliseconds: 6_000 }),
      harness.createRoute({
        id: model.createRouteId("reads"),
        pathPrefix: "/reads/",
        isIdempotent: true,
        objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
        timeoutMilliseconds: 6_000,
      }),
    ];
    await vm.start(0, harness.createDeclarations(1, { routes }));
    const headers = { [PROFILE.requestId]: READ, [PROFILE.deadline]: "6000" };
    const called = vm.call({ method: "GET", path: "/reads/1", headers });
    await harness.waitFor(() => failed !== undefined, "the request is passed on");
    // They use all slots and wait for more.
    const others = Array.from(
      { length: 6 },
      () => vm.call({ headers: { [PROFILE.deadline]: "6000" } }),
    );
    await harness.waitFor(() => held.length >= 2, "the other target is in use");
    const response = failed as unknown as http.ServerResponse;
    response.writeHead(500, { ...harness.createAnswerHeaders(response.req), ...framing });
    response.write("x".repeat(SENT_BYTES));
    // The VM has read what was sent.
    await kernel.sleep(50);
    await run({ vm, called, response, release });
    release();
    await Promise.all(others);
  } finally {
    release();
    await vm.stop();
    targets.forEach((target) => target.stop());
  }
}

test.describe("a long error", { concurrency: 4 }, () => {
  for (const [what, framing] of Object.entries(FRAMINGS)) {
    for (const ending of ["resets", "ends"] as const) {
      test.test(`${what} leaves its caller without a response when its target ${ending} its connection while a retry waits`, async () => {
        await withFailedRequest(framing, async ({ called, response }) => {
          const { socket } = response.req;
          if (ending === "resets") {
            socket.resetAndDestroy();
          } else {
            socket.destroy();
          }
          const startedAt = performance.now();
          const answer = await Promise.race([called, kernel.sleep(9_000)]);
          assert.ok(typeof answer === "object", "no response after the request's time");
          assert.ok([500, 502, 503, 504].includes(answer.status), `${answer.status}`);
          assert.ok(answer.isComplete);
          assert.ok(performance.now() - startedAt < 6_500);
        });
      });

      test.test(`${what} whose target ${ending} its connection takes the retry with it`, async () => {
        await withFailedRequest(framing, async ({ called, response, release }) => {
          const { socket } = response.req;
          if (ending === "resets") {
            socket.resetAndDestroy();
          } else {
            socket.destroy();
          }
          await kernel.sleep(100);
          release();
          const answer = await called;
          assert.deepEqual([answer.status, answer.body], [200, "done"]);
        });
      });
    }

    test.test(`${what} takes the retry with it that waits while the rest comes`, async () => {
      await withFailedRequest(framing, async ({ called, response, release }) => {
        response.end("x".repeat(STATED_BYTES - SENT_BYTES));
        await kernel.sleep(100);
        release();
        const answer = await called;
        assert.deepEqual([answer.status, answer.body], [200, "done"]);
      });
    });

    test.test(`${what} has a gap when no retry could be made`, async () => {
      await withFailedRequest(framing, async ({ called, response }) => {
        response.end("x".repeat(STATED_BYTES - SENT_BYTES));
        const answer = await called;
        assert.deepEqual(
          [answer.status, answer.isComplete, answer.body.length],
          [500, true, STATED_BYTES],
        );
      });
    });
  }
});
