/**
 * Guards against a long response that breaks off after it has won against another attempt, which was
 * cancelled: its caller takes a part of it for the whole, or gets nothing that ends.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Just more than is buffered of a response before it wins. */
const WINNING_BYTES = 263_000;

const STATED_BYTES = 400_000;

const ATTEMPTS = 3;

/** Requests from which the VM learns how long the route's requests usually take. */
const WARM_UP_REQUESTS = 30;

/** How the response is delimited. */
const FRAMINGS: Readonly<Record<string, http.OutgoingHttpHeaders>> = {
  "with a length": { "Content-Length": STATED_BYTES },
  "in chunks": {},
  "that ends with its connection": { Connection: "close" },
};

/** How its target breaks it off. */
const ENDINGS: Readonly<Record<string, (response: http.ServerResponse) => void>> = {
  "is reset": ({ req }) => void req.socket.resetAndDestroy(),
  "ends": ({ req }) => void req.socket.end(),
};

const DELAYS: Readonly<Record<string, number | undefined>> = {
  "at once": undefined,
  "later": 50,
};

/** A request whose first target is silent while another one sends a part of a long response. */
interface Outcome {
  readonly answer: harness.CallerAnswer;
  readonly arrivals: number;
  /** Whether the attempt at the silent target was ended. */
  readonly isFirstEnded: boolean;
}

async function sendPart(
  framing: http.OutgoingHttpHeaders,
  breakOff: (response: http.ServerResponse) => void,
  delay: number | undefined,
): Promise<Outcome> {
  const vm = new harness.TestVm();
  try {
    const route = harness.createRoute({
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent: true,
      attempts: ATTEMPTS,
      timeoutMilliseconds: 10_000,
    });
    await vm.start(ATTEMPTS, harness.createDeclarations(1, { routes: [route] }));
    const request = { method: "GET", path: "/reads/1" };
    for (let sent = 0; sent < WARM_UP_REQUESTS; sent++) {
      assert.equal((await vm.call(request)).status, 200);
    }
    let arrivals = 0;
    let isFirstEnded = false;
    let respondFirst: () => void = assert.fail;
    const behaviour: harness.Behaviour = (received, response) => {
      arrivals++;
      if (arrivals === 1) {
        respondFirst = () => harness.answerSuccess(received, response);
        received.socket.once("close", () => isFirstEnded = true);
        return;
      }
      if (arrivals > 2) {
        harness.answerSuccess(received, response);
        return;
      }
      response.useChunkedEncodingByDefault = framing["Connection"] === undefined;
      response.writeHead(200, { ...harness.createAnswerHeaders(received), ...framing });
      response.write("x".repeat(WINNING_BYTES), () => {
        if (delay === undefined) {
          breakOff(response);
        } else {
          setTimeout(() => breakOff(response), delay);
        }
      });
    };
    vm.targets.forEach((target) => target.behaviour = behaviour);
    const headers = { [PROFILE.requestId]: "long", [PROFILE.deadline]: "5000" };
    const called = vm.call({ ...request, headers });
    await harness.waitFor(() => arrivals >= 2, "another target has the request");
    const answer = await Promise.race([
      called,
      kernel.sleep(1_000).then(() => {
        respondFirst();
        return called;
      }),
    ]);
    await kernel.sleep(50);
    return { answer, arrivals, isFirstEnded };
  } finally {
    await vm.stop();
  }
}

test.describe("a part of a long response", { concurrency: 4 }, () => {
  for (const [form, framing] of Object.entries(FRAMINGS)) {
    for (const [ending, breakOff] of Object.entries(ENDINGS)) {
      // The end of its connection makes such a response whole.
      const isWhole = framing["Connection"] !== undefined && ending === "ends";
      for (const [when, delay] of Object.entries(DELAYS)) {
        const what = `${form} ${ending} ${when}`;
        // What has arrived may be dropped by a reset at once, so that nothing has won.
        const hasWon = ending === "ends" || delay !== undefined;
        if (!isWhole && hasWon) {
          test.test(`${what} after it has won and looks complete`, async () => {
            const { answer, arrivals, isFirstEnded } = await sendPart(
              framing,
              breakOff,
              delay,
            );
            assert.ok(!answer.isComplete || answer.status === 502);
            assert.deepEqual([arrivals, isFirstEnded], [2, true]);
          });
        }
      }
    }
  }
});
