/**
 * Guards against responses that broke off and look complete to their caller, and against requests
 * that are never answered since an earlier one was answered before its body had been read.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

/** Longer than what is buffered of a response or a body. */
const LONG_BYTES = 400_000;

/** Longer than what a connection takes up while its target does not read. */
const BLOCKED_BYTES = 12_000_000;

const LONG_BODIES = harness.createDeclarations(1, {
  limits: {
    headerBytes: 4_096,
    bodyBytes: 2 * BLOCKED_BYTES,
    headerMilliseconds: 3_000,
    idleMilliseconds: 15_000,
  },
});

/** Sends the beginning of a response that ends with its connection. */
function sendBeginning(request: http.IncomingMessage): void {
  const id = String(request.headers[harness.PROFILE.requestId]);
  request.socket.write(
    `HTTP/1.1 200 OK\r\n${harness.PROFILE.requestId}: ${id}\r\n` +
      `${harness.PROFILE.signature}: signed\r\n\r\n${"x".repeat(LONG_BYTES)}`,
  );
}

test.describe("a long response without a length looks complete", () => {
  for (const ending of ["is reset by its target", "is cut at the route's timeout"]) {
    for (const version of ["1.1", "1.0"]) {
      test.test(`when it ${ending}, over HTTP/${version}`, async () => {
        await harness.withVm(1, async (vm) => {
          const [target] = vm.targets;
          assert.ok(target !== undefined);
          target.behaviour = (request) => {
            sendBeginning(request);
            if (ending === "is reset by its target") {
              setTimeout(() => request.socket.resetAndDestroy(), 300);
            }
          };
          const caller = new raw.RawCaller(vm);
          caller.send(raw.encodeRequest({ id: "long", version }));
          const answers = await caller.readAnswers(1);
          assert.deepEqual(answers.map(({ status, isWhole }) => [status, isWhole]), [[200, false]]);
          assert.equal(caller.isReset, true);
          caller.close();
        });
      });
    }
  }

  test.test("when it has chunks, is cut at the route's timeout and its caller speaks HTTP/1.0", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) => {
        response.writeHead(200, harness.createAnswerHeaders(request));
        response.write("x".repeat(LONG_BYTES));
      };
      const caller = new raw.RawCaller(vm);
      caller.send(raw.encodeRequest({ id: "long", version: "1.0" }));
      await caller.readAnswers(1);
      assert.equal(caller.isReset, true);
      caller.close();
    });
  });
});

test.test("a connection hangs behind an early response to a long request", async () => {
  await harness.withVm(1, async (vm) => {
    const [target] = vm.targets;
    assert.ok(target !== undefined);
    target.earlyBehaviour = (request, response) => {
      request.socket.pause();
      harness.answerSuccess(request, response);
    };
    const caller = new raw.RawCaller(vm);
    caller.send(raw.encodeRequest({ id: "long", body: "x".repeat(BLOCKED_BYTES) }));
    caller.send(raw.encodeRequest({ id: "next" }));
    const answers = await caller.readAnswers(2);
    assert.deepEqual([answers[0]?.id, answers[0]?.status], ["long", 200]);
    // The rest of the long request may be longer than what is read behind its response.
    assert.ok(caller.hasEnded || answers[1]?.status === 200);
    caller.close();
  }, LONG_BODIES);
});
