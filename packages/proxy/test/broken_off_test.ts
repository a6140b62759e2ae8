/**
 * Guards against responses that broke off and look complete to their caller, and against requests
 * that are never answered since an earlier one was answered before its body had been read.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
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

function createUnframedHead(request: http.IncomingMessage): string {
  const id = String(request.headers[harness.PROFILE.requestId]);
  return `HTTP/1.1 200 OK\r\n${harness.PROFILE.requestId}: ${id}\r\n` +
    `${harness.PROFILE.signature}: signed\r\n\r\n`;
}

/** Sends the beginning of a response that ends with its connection. */
function sendBeginning(request: http.IncomingMessage): void {
  request.socket.write(createUnframedHead(request) + "x".repeat(LONG_BYTES));
}

/** Runs a test with one target that responds in a given way. */
async function withTarget(
  behaviour: harness.Behaviour,
  run: (vm: harness.TestVm, caller: raw.RawCaller) => Promise<void>,
  declared?: ReturnType<typeof harness.createDeclarations>,
): Promise<void> {
  await harness.withVm(1, async (vm) => {
    vm.targets.forEach((target) => target.behaviour = behaviour);
    const caller = new raw.RawCaller(vm);
    try {
      await run(vm, caller);
    } finally {
      caller.close();
    }
  }, declared);
}

const LONG_ROUTE = harness.createDeclarations(1, {
  routes: [harness.createRoute({ timeoutMilliseconds: 10_000 })],
});

test.describe("a long response without a length looks complete", { concurrency: 4 }, () => {
  for (const ending of ["is reset by its target", "is cut at the route's timeout"]) {
    test.test(`when it ${ending}`, async () => {
      const behaviour: harness.Behaviour = (request) => {
        sendBeginning(request);
        if (ending === "is reset by its target") {
          setTimeout(() => request.socket.resetAndDestroy(), 300);
        }
      };
      await withTarget(behaviour, async (_vm, caller) => {
        caller.send(raw.encodeRequest({ id: "long" }));
        const answers = await caller.readAnswers(1);
        assert.deepEqual(
          answers.map(({ status, delimiting, isWhole }) => [status, delimiting, isWhole]),
          [[200, "chunks", false]],
        );
      });
    });
  }

  test.test("when its VM stops", async () => {
    await withTarget(sendBeginning, async (vm, caller) => {
      caller.send(raw.encodeRequest({ id: "long" }));
      await harness.waitFor(() => caller.received.length > LONG_BYTES, "its beginning arrives");
      await vm.stop();
      const answers = await caller.readAnswers(1);
      assert.deepEqual(answers.map(({ status, isWhole }) => [status, isWhole]), [[200, false]]);
    }, LONG_ROUTE);
  });

  // The system ends the connections of a killed process in order, and a caller may lose the reset
  // that marks an end out of order. So the connection's end must not be what completes a response.
  test.test("when its VM is killed", async () => {
    await withTarget(sendBeginning, async (_vm, caller) => {
      caller.send(raw.encodeRequest({ id: "long" }));
      await harness.waitFor(() => caller.received.length > LONG_BYTES, "its beginning arrives");
      const [answer] = caller.listAnswers();
      assert.deepEqual([answer?.status, answer?.delimiting], [200, "chunks"]);
    });
  });

  for (const framing of ["without a length", "in chunks"]) {
    test.test(`when it is ${framing} and its caller speaks HTTP/1.0`, async () => {
      const behaviour: harness.Behaviour = (request, response) => {
        if (framing === "without a length") {
          sendBeginning(request);
        } else {
          response.writeHead(200, harness.createAnswerHeaders(request));
          response.write("x".repeat(LONG_BYTES));
        }
      };
      await withTarget(behaviour, async (vm, caller) => {
        caller.send(raw.encodeRequest({ id: "long", version: "1.0" }));
        const answers = await caller.readAnswers(1);
        assert.deepEqual(
          answers.map(({ status, delimiting, isWhole }) => [status, delimiting, isWhole]),
          [[502, "length", true]],
        );
        assert.equal(vm.countRequests(), 1);
      });
    });
  }
});

test.describe("a response is not delimited as its caller needs it", { concurrency: 4 }, () => {
  const BODIES: readonly [name: string, bytes: number][] = [
    ["an empty one", 0],
    ["a short one", 1_000],
    ["a long one", LONG_BYTES],
  ];
  for (const version of ["1.1", "1.0"]) {
    for (const [name, bytes] of BODIES) {
      for (const framing of ["with a length", "in chunks", "without either"]) {
        const isRefused = version === "1.0" && bytes === LONG_BYTES && framing !== "with a length";
        const what = `${name} ${framing}, over HTTP/${version}`;
        test.test(`${what}${isRefused ? ", which is refused" : ""}`, async () => {
          const body = "x".repeat(bytes);
          const behaviour: harness.Behaviour = (request, response) => {
            if (framing === "without either") {
              request.socket.end(createUnframedHead(request) + body);
              return;
            }
            const length = framing === "with a length" ? { "Content-Length": bytes } : {};
            response.writeHead(200, { ...harness.createAnswerHeaders(request), ...length });
            response.write(body);
            response.end();
          };
          await withTarget(behaviour, async (_vm, caller) => {
            caller.send(raw.encodeRequest({ id: "whole", version }));
            const [answer] = await caller.readAnswers(1);
            assert.equal(answer?.isWhole, true);
            assert.notEqual(answer.delimiting, "end of the connection");
            assert.equal(answer.status, isRefused ? 502 : 200);
            assert.ok(isRefused || answer.body === body);
          });
        });
      }
    }

    for (const [method, status] of [["HEAD", 200], ["POST", 204], ["POST", 304]] as const) {
      test.test(`one to ${method} with status ${status}, over HTTP/${version}`, async () => {
        const behaviour: harness.Behaviour = (request, response) =>
          void response.writeHead(status, harness.createAnswerHeaders(request)).end();
        await withTarget(behaviour, async (vm, caller) => {
          caller.send(raw.encodeRequest({ id: "head", method, version }));
          await harness.waitFor(() => caller.received.endsWith("\r\n\r\n"), "its head arrives");
          assert.match(caller.received, new RegExp(`^HTTP/1.1 ${status} `));
          assert.doesNotMatch(caller.received, /^(content-length|transfer-encoding):/im);
          // Nothing is read as its body.
          if (version === "1.1") {
            const received = caller.received.length;
            vm.targets.forEach((target) => target.behaviour = harness.answerSuccess);
            caller.send(raw.encodeRequest({ id: "next" }));
            await harness.waitFor(() => caller.received.length > received, "the next one arrives");
            assert.match(caller.received.slice(received), /^HTTP\/1.1 200 /);
          }
        });
      });
    }
  }
});

test.test("a response that is cut drops one before it that its caller has not read", async () => {
  const behaviour: harness.Behaviour = (request, response) => {
    if (request.headers[harness.PROFILE.requestId] === "whole") {
      const length = { "Content-Length": 2 * LONG_BYTES };
      response.writeHead(200, { ...harness.createAnswerHeaders(request), ...length });
      response.end("x".repeat(2 * LONG_BYTES));
    } else {
      sendBeginning(request);
      setTimeout(() => request.socket.resetAndDestroy(), 300);
    }
  };
  await withTarget(behaviour, async (vm, caller) => {
    caller.pause();
    caller.send(raw.encodeRequest({ id: "whole" }) + raw.encodeRequest({ id: "cut" }));
    await harness.waitFor(() => vm.countRequests() === 2, "both are passed on");
    await kernel.sleep(600);
    caller.resume();
    const answers = await caller.readAnswers(2);
    assert.deepEqual(
      answers.map(({ id, isWhole }) => [id, isWhole]),
      [["whole", true], ["cut", false]],
    );
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
