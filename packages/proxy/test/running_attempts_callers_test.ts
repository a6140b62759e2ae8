/**
 * Guards against attempts that end while their target is at work for a reason that lies on their
 * caller's connection, though the caller waits or the request must not be cancelled.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const { PROFILE } = harness;

const WORK_MILLISECONDS = 2_500;

/** Shorter than the targets work, by more than the interval in which connections are checked. */
const SHORT_MILLISECONDS = 200;

/** Longer than what is buffered of a request. */
const LONG_BODY = "u".repeat(400_000);

const CHANGES = {
  // So long that no attempt counts as silent.
  objectiveMilliseconds: 8_000,
  timeoutMilliseconds: 20_000,
};

const DECLARED = harness.createDeclarations(1, {
  limits: {
    headerBytes: 4_096,
    bodyBytes: 1_000_000,
    headerMilliseconds: SHORT_MILLISECONDS,
    idleMilliseconds: SHORT_MILLISECONDS,
  },
  routes: [
    harness.createRoute(CHANGES),
    harness.createRoute({
      ...CHANGES,
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent: true,
      mayRunAhead: true,
      attempts: 1,
    }),
  ],
});

/** What targets have done with their requests. */
interface Work {
  readonly arrived: string[];
  /** Requests whose response was written before their connection closed. */
  readonly finished: string[];
  readonly cancelled: string[];
}

/** Lets targets work for some time. */
function workSlowly(vm: harness.TestVm): Work {
  const work: Work = { arrived: [], finished: [], cancelled: [] };
  for (const target of vm.targets) {
    target.behaviour = (request: http.IncomingMessage, response: http.ServerResponse) => {
      const id = String(request.headers[PROFILE.requestId]);
      work.arrived.push(id);
      response.once(
        "close",
        () => (response.writableFinished ? work.finished : work.cancelled).push(id),
      );
      setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
    };
  }
  return work;
}

/** Runs a test with a caller whose earlier requests have shown that responses are short. */
async function withCaller(
  run: (vm: harness.TestVm, caller: raw.RawCaller, work: Work) => Promise<void>,
): Promise<void> {
  await harness.withVm(3, async (vm) => {
    assert.equal((await vm.call({ method: "GET", path: "/reads/0" })).status, 200);
    const work = workSlowly(vm);
    const caller = new raw.RawCaller(vm);
    try {
      await run(vm, caller, work);
    } finally {
      caller.close();
    }
  }, DECLARED);
}

/** Time after the end of a caller's connection from which no target works for it any more. */
const MAX_CANCEL_MILLISECONDS = 500;

/** What a caller has sent behind whole requests when it ends its side. */
const INCOMPLETE_REQUESTS = {
  "nothing": "",
  "a part of a head": "GET /reads/part HTTP/1.1\r\nHost: desk",
  "a part of a body": `${raw.encodeRequest({ id: "part", headers: ["Content-Length: 9"] })}part`,
};

function encodeReads(ids: readonly string[]): string {
  return ids.map((id) => raw.encodeRequest({ id, method: "GET", path: `/reads/${id}` })).join("");
}

test.describe("a running attempt is cancelled", { concurrency: 4 }, () => {
  const bodies = {
    "without a body": "",
    "with a short body": "body",
    "with a long one": LONG_BODY,
  };
  for (const [what, body] of Object.entries(bodies)) {
    for (const stops of [false, true]) {
      const when = stops ? " while its VM stops" : "";
      test.test(`though it must not run twice, ${what}, since its caller leaves${when}`, async () => {
        await withCaller(async (vm, caller, { arrived, finished, cancelled }) => {
          caller.send(raw.encodeRequest({ id: "write", body }));
          await harness.waitFor(() => arrived.length === 1, "the request is passed on");
          const stopped = stops ? vm.stop() : Promise.resolve();
          caller.close();
          // A VM that stops does not wait for a response that nobody receives.
          await (stops ? kernel.sleep(WORK_MILLISECONDS + 100) : harness.waitFor(
            () => finished.length + cancelled.length > 0,
            "the target has responded",
          ));
          assert.deepEqual([finished, cancelled], [["write"], []]);
          await stopped;
        });
      });
    }
  }

  test.test("with the requests behind it, though they were not passed on, and runs them", async () => {
    await withCaller(async (_vm, caller, { arrived, finished, cancelled }) => {
      caller.send(
        raw.encodeRequest({ id: "first" }) + raw.encodeRequest({ id: "second" }) +
          encodeReads(["third"]),
      );
      await harness.waitFor(() => arrived.length === 1, "the first request is passed on");
      caller.close();
      await harness.waitFor(() => finished.length + cancelled.length > 0, "it has ended");
      await kernel.sleep(100);
      assert.deepEqual([arrived, finished, cancelled], [["first"], ["first"], []]);
    });
  });

  for (
    const [kind, request] of [
      ["one that must not run twice", raw.encodeRequest({ id: "a" })],
      ["an idempotent one", encodeReads(["a"])],
      ["those that run ahead", encodeReads(["a", "b", "c"])],
    ] as const
  ) {
    const count = kind === "those that run ahead" ? 3 : 1;

    test.test(`since the connection is idle for longer than allowed: ${kind}`, async () => {
      await withCaller(async (_vm, caller, { cancelled }) => {
        caller.send(request);
        const answers = await caller.readAnswers(count);
        assert.deepEqual(answers.map(({ status }) => status), answers.map(() => 200));
        assert.deepEqual([answers.length, cancelled], [count, []]);
      });
    });

    test.test(`since the head behind it comes too slowly: ${kind}`, async () => {
      await withCaller(async (_vm, caller, { cancelled }) => {
        caller.send(`${request}GET /reads/late HTT`);
        const answers = await caller.readAnswers(count + 1);
        assert.deepEqual(
          answers.map(({ status }) => status),
          [...Array.from({ length: count }, () => 200), 408],
        );
        assert.deepEqual(cancelled, []);
      });
    });

    test.test(`since bytes behind it are no request: ${kind}`, async () => {
      await withCaller(async (_vm, caller, { arrived, cancelled }) => {
        caller.send(request);
        await harness.waitFor(() => arrived.length === count, "all are passed on");
        caller.send("no request\r\n\r\n");
        const answers = await caller.readAnswers(count + 1);
        assert.deepEqual(
          answers.map(({ status }) => status),
          [...Array.from({ length: count }, () => 200), 400],
        );
        assert.deepEqual(cancelled, []);
      });
    });

    test.test(`since a body behind it is too large: ${kind}`, async () => {
      await withCaller(async (_vm, caller, { cancelled }) => {
        const headers = ["Content-Length: 2000000"];
        caller.send(request + raw.encodeRequest({ id: "large", headers }));
        const answers = await caller.readAnswers(count + 1);
        assert.deepEqual(
          answers.map(({ status }) => status),
          [...Array.from({ length: count }, () => 200), 413],
        );
        assert.deepEqual(cancelled, []);
      });
    });
  }

  test.test("since a body that is sent on another connection gets too large", async () => {
    await withCaller(async (vm, caller, { cancelled }) => {
      caller.send(encodeReads(["a"]));
      const other = new raw.RawCaller(vm);
      try {
        const large = "x".repeat(1_100_000);
        other.send(raw.encodeRequest({ id: "large", body: large, isChunked: true }));
        assert.deepEqual((await other.readAnswers(1)).map(({ status }) => status), [413]);
        assert.deepEqual((await caller.readAnswers(1)).map(({ status }) => status), [200]);
        assert.deepEqual(cancelled.filter((id) => id !== "large"), []);
      } finally {
        other.close();
      }
    });
  });
});

// A connection that a caller has closed shows the same as one of which it has ended its side alone.
test.describe("a caller ends its side, and", { concurrency: 4 }, () => {
  for (const [what, incomplete] of Object.entries(INCOMPLETE_REQUESTS)) {
    for (const closes of [true, false]) {
      const how = `${what} is sent behind, ${closes ? "closing" : "reading on"}`;

      test.test(`targets work on for it, or get more: ${how}`, async () => {
        await withCaller(async (_vm, caller, { arrived, finished, cancelled }) => {
          caller.send(encodeReads(["a", "b", "c"]) + incomplete);
          await harness.waitFor(() => arrived.length === 3, "all are passed on");
          if (closes) {
            caller.close();
          } else {
            caller.endSending();
          }
          await harness.waitFor(
            () => cancelled.length === 3,
            "all are cancelled",
            MAX_CANCEL_MILLISECONDS,
          );
          await kernel.sleep(100);
          assert.deepEqual(arrived.toSorted(), ["a", "b", "c"]);
          assert.deepEqual([finished, caller.received], [[], ""]);
        });
      });

      test.test(`a request that must not run twice is cancelled: ${how}`, async () => {
        await withCaller(async (_vm, caller, { arrived, finished, cancelled }) => {
          caller.send(raw.encodeRequest({ id: "write" }) + encodeReads(["behind"]) + incomplete);
          await harness.waitFor(() => arrived.length === 1, "the first request is passed on");
          if (closes) {
            caller.close();
          } else {
            caller.endSending();
          }
          await harness.waitFor(() => finished.length + cancelled.length > 0, "it has ended");
          await kernel.sleep(100);
          assert.deepEqual([arrived, finished, cancelled], [["write"], ["write"], []]);
        });
      });
    }
  }
});
