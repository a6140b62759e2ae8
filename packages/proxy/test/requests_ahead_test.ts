/**
 * Tests of requests that run ahead of their turn on a caller's connection, on a whole VM: they wait
 * for each other, their responses are lost, reordered or look complete when they are not, or they
 * use up what the VM may spend on them.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const WORK_MILLISECONDS = 600;

/** Longer than what is ever buffered, and than the buffers of a loopback connection take up. */
const LONG_BODY = Buffer.alloc(24_000_000, "x");

const COUNTER = "hemlockwalk_requests_ahead_total";

function createReads(changes: Parameters<typeof harness.createRoute>[0] = {}) {
  return harness.createRoute({
    id: model.createRouteId("reads"),
    pathPrefix: "/reads/",
    isIdempotent: true,
    mayRunAhead: true,
    // No request is sent twice, so that targets see each of them once.
    attempts: 1,
    objectiveMilliseconds: 4_000,
    timeoutMilliseconds: 8_000,
    ...changes,
  });
}

const DECLARED = harness.createDeclarations(1, {
  routes: [
    harness.createRoute(),
    createReads(),
    createReads({
      id: model.createRouteId("absent"),
      pathPrefix: "/absent/",
      destinations: [{ service: model.createServiceId("without-targets"), weight: 1 }],
    }),
    createReads({
      id: model.createRouteId("exports"),
      pathPrefix: "/exports/",
      mayRunAhead: undefined,
    }),
  ],
});

/** Creates requests that may run ahead, with their identifiers as paths. */
function encodeReads(ids: readonly string[], changes: Partial<raw.RawRequest> = {}): string {
  return ids.map((id) => raw.encodeRequest({ id, method: "GET", path: `/reads/${id}`, ...changes }))
    .join("");
}

function listArrived(vm: harness.TestVm): string[] {
  return vm.targets.flatMap(({ requests }) =>
    requests.map(({ headers }) => String(headers[harness.PROFILE.requestId]))
  ).sort();
}

/** Sets how targets respond, by the identifier of the request. */
function setBehaviour(
  vm: harness.TestVm,
  behaviour: (id: string, request: http.IncomingMessage, response: http.ServerResponse) => void,
): void {
  for (const target of vm.targets) {
    target.behaviour = (request, response) =>
      behaviour(String(request.headers[harness.PROFILE.requestId]), request, response);
  }
}

/** Responds to the request `a` after some time, and to the others at once. */
function answerFirstLate(vm: harness.TestVm, milliseconds = WORK_MILLISECONDS): void {
  setBehaviour(vm, (id, request, response) => {
    setTimeout(() => harness.answerSuccess(request, response), id === "a" ? milliseconds : 0);
  });
}

/** Sends a response without a length, or a part of it with a reset behind it. */
function answerUnframed(request: http.IncomingMessage, body: Buffer | string, isWhole: boolean) {
  const { socket } = request;
  const id = String(request.headers[harness.PROFILE.requestId]);
  socket.write(
    `HTTP/1.1 200 OK\r\n${harness.PROFILE.requestId}: ${id}\r\n` +
      `${harness.PROFILE.signature}: signed\r\nConnection: close\r\n\r\n`,
  );
  if (isWhole) {
    socket.end(body);
    return;
  }
  socket.write(body);
  // A reset drops what the VM has not read yet.
  setTimeout(() => socket.resetAndDestroy(), WORK_MILLISECONDS / 2);
}

/** Responds with a body of a length, or breaks off after a part of it. */
function answerLong(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  bytes: number,
  sentBytes = bytes,
): void {
  response.writeHead(200, {
    ...harness.createAnswerHeaders(request),
    "Content-Length": bytes,
  });
  const part = LONG_BODY.subarray(0, sentBytes);
  if (sentBytes === bytes) {
    response.end(part);
  } else {
    response.write(part, () => request.socket.destroy());
  }
}

/** Lets the VM see that the responses of a route are short, then forgets the request. */
async function warm(vm: harness.TestVm): Promise<void> {
  const caller = new raw.RawCaller(vm);
  caller.send(encodeReads(["warm"]));
  const [answer] = await caller.readAnswers(1);
  assert.equal(answer?.status, 200);
  caller.close();
  vm.targets.forEach(({ requests }) => requests.splice(0));
}

async function withCaller(
  targetCount: number,
  run: (vm: harness.TestVm, caller: raw.RawCaller) => Promise<void>,
  isWarm = true,
): Promise<void> {
  await harness.withVm(targetCount, async (vm) => {
    if (isWarm) {
      await warm(vm);
    }
    const caller = new raw.RawCaller(vm);
    try {
      await run(vm, caller);
    } finally {
      caller.close();
    }
  }, DECLARED);
}

test.describe("requests ahead of their turn", { concurrency: 4 }, () => {
  test.test("safe requests wait for a slow one before them, or overtake it", async () => {
    await withCaller(3, async (vm, caller) => {
      answerFirstLate(vm);
      const ids = ["a", "b", "c", "d", "e", "f"];
      caller.send(encodeReads(ids));
      await kernel.sleep(WORK_MILLISECONDS / 2);
      assert.deepEqual(listArrived(vm), ["a", "b", "c", "d"], "four at once, and no more");
      assert.equal(caller.received, "", "responses keep the order");
      const startedAt = performance.now();
      const answers = await caller.readAnswers(ids.length);
      const milliseconds = performance.now() - startedAt;
      assert.ok(milliseconds < WORK_MILLISECONDS * 2, `${milliseconds} ms`);
      assert.deepEqual(answers.map(({ id, status }) => [id, status]), ids.map((id) => [id, 200]));
      const steps = vm.getTrace("b").steps;
      assert.equal(steps.find(({ step }) => step === "started_ahead")?.["before"], 1);
      const waited = steps.find(({ step }) => step === "waited_for_turn")?.["milliseconds"];
      assert.ok(Number(waited) > WORK_MILLISECONDS / 2, `the response waited ${String(waited)} ms`);
      assert.ok(await vm.readCounter(COUNTER, { event: "started" }) >= 3);
      assert.equal(await vm.readCounter(COUNTER, { event: "cancelled" }), 0);
    });
  });

  test.test("a refusal is decided when its turn comes, or tells to wait longer", async () => {
    await withCaller(1, async (vm, caller) => {
      answerFirstLate(vm);
      caller.send(encodeReads(["a"]) + encodeReads(["b"], { path: "/absent/1" }));
      const answers = await caller.readAnswers(2);
      assert.deepEqual(answers.map(({ id, status }) => [id, status]), [["a", 200], ["b", 503]]);
      const waited = vm.getTrace("b").steps.find(({ step }) => step === "waited_for_turn");
      assert.ok(Number(waited?.["milliseconds"]) > WORK_MILLISECONDS / 2);
      assert.match(caller.received, /Retry-After: 0\r\n/);
    });
  });

  for (
    const [name, first, second] of [
      ["behind a request that is not safe", { method: "POST", path: "/bookings/1" }, {}],
      ["although they are not safe", {}, { method: "POST", path: "/bookings/1" }],
      ["behind a download", { path: "/exports/1" }, {}],
      ["although they are downloads", {}, { path: "/exports/1" }],
      ["for a caller of HTTP/1.0", { version: "1.0", headers: ["Connection: keep-alive"] }, {}],
      ["behind the caller's end of the connection", { headers: ["Connection: close"] }, {}],
      ["behind a request with a body", { body: "some body" }, {}],
    ] as const
  ) {
    test.test(`requests run ahead ${name}`, async () => {
      await withCaller(2, async (vm, caller) => {
        answerFirstLate(vm);
        caller.send(encodeReads(["a"], first) + encodeReads(["b"], second));
        await kernel.sleep(WORK_MILLISECONDS / 2);
        assert.deepEqual(listArrived(vm), ["a"]);
        await caller.readAnswers(2);
        assert.equal(await vm.readCounter(COUNTER, { event: "started" }), 0);
      });
    });
  }

  test.test("requests run ahead behind a response of unknown length", async () => {
    await withCaller(3, async (vm, caller) => {
      answerFirstLate(vm);
      caller.send(encodeReads(["a", "b", "c"]));
      await kernel.sleep(WORK_MILLISECONDS / 2);
      assert.deepEqual(listArrived(vm), ["a"]);
      const answers = await caller.readAnswers(3);
      assert.deepEqual(answers.map(({ id }) => id), ["a", "b", "c"]);
      assert.equal(await vm.readCounter(COUNTER, { event: "started" }), 1, "c, behind b");
    }, false);
  });

  test.test("requests run ahead behind a response of a route with long ones", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (_id, request, response) => answerLong(request, response, 300_000));
      caller.send(encodeReads(["long"]));
      const [long] = await caller.readAnswers(1);
      assert.equal(long?.body.length, 300_000);
      answerFirstLate(vm);
      caller.send(encodeReads(["a", "b", "c"]));
      await kernel.sleep(WORK_MILLISECONDS / 2);
      assert.deepEqual(listArrived(vm), ["a", "long"]);
      await caller.readAnswers(4);
      assert.equal(await vm.readCounter(COUNTER, { event: "started" }), 0);
    });
  });

  test.test("requests start ahead behind a response whose head says that it is long", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        if (id === "a") {
          response.writeHead(200, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": 300_000,
          });
          response.write("x");
          setTimeout(() => response.end(LONG_BODY.subarray(1, 300_000)), WORK_MILLISECONDS);
        } else {
          harness.answerSuccess(request, response);
        }
      });
      caller.send(encodeReads(["a"]));
      await kernel.sleep(WORK_MILLISECONDS / 2);
      caller.send(encodeReads(["b"]));
      await kernel.sleep(WORK_MILLISECONDS / 4);
      assert.deepEqual(listArrived(vm), ["a"]);
      const answers = await caller.readAnswers(2);
      assert.deepEqual(answers.map(({ id, isWhole }) => [id, isWhole]), [["a", true], ["b", true]]);
    });
  });

  for (const isFirst of [true, false]) {
    const where = isFirst ? "first" : "held back";
    test.test(`a long response that breaks off, ${where}, takes those behind it with it`, async () => {
      await withCaller(3, async (vm, caller) => {
        // The VM has only seen short responses. A part of this one is longer than what is buffered.
        setBehaviour(vm, (id, request, response) => {
          if (id === "a" && !isFirst) {
            setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
          } else if (id === (isFirst ? "a" : "b")) {
            // The rest comes when the response has its turn.
            setTimeout(
              () => answerLong(request, response, 500_000, 400_000),
              WORK_MILLISECONDS / 2,
            );
          } else {
            harness.answerSuccess(request, response);
          }
        });
        caller.send(encodeReads(["a", "b", "c", "d"]));
        const answers = await caller.readAnswers(4);
        const statuses = isFirst ? [502, 200, 200, 200] : [200, 502, 200, 200];
        assert.deepEqual(
          answers.map(({ id, status, isWhole }) => [id, status, isWhole]),
          ["a", "b", "c", "d"].map((id, index) => [id, statuses[index], true]),
        );
      });
    });
  }

  test.test("a long response is not whole if requests run ahead behind it", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        if (id === "a") {
          setTimeout(() => answerLong(request, response, 700_000), WORK_MILLISECONDS);
        } else if (id === "b") {
          answerLong(request, response, 600_000);
        } else {
          harness.answerSuccess(request, response);
        }
      });
      caller.send(encodeReads(["a", "b", "c"]));
      const answers = await caller.readAnswers(3);
      assert.deepEqual(
        answers.map(({ id, status, body, isWhole }) => [id, status, body.length, isWhole]),
        [["a", 200, 700_000, true], ["b", 200, 600_000, true], ["c", 200, 4, true]],
      );
    });
  });

  test.test("a response without a length takes those behind it with it", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        if (id === "a") {
          setTimeout(() => answerUnframed(request, "all of it", true), WORK_MILLISECONDS);
        } else {
          harness.answerSuccess(request, response);
        }
      });
      caller.send(encodeReads(["a", "b", "c"]));
      const answers = await caller.readAnswers(3);
      assert.deepEqual(
        answers.map(({ id, body, isWhole }) => [id, body, isWhole]),
        [["a", "all of it", true], ["b", "done", true], ["c", "done", true]],
      );
      assert.equal(answers[0]?.delimiting, "length");
      assert.equal(answers[0].endsConnection, false);
    });
  });

  test.test("a response without a length that breaks off looks complete", async () => {
    await withCaller(3, async (vm, caller) => {
      let ended = 0;
      setBehaviour(vm, (id, request, response) => {
        if (id === "a") {
          answerUnframed(request, LONG_BODY, false);
        } else {
          response.once("close", () => ended++);
          setTimeout(() => harness.answerSuccess(request, response), 4_000);
        }
      });
      const startedAt = performance.now();
      caller.send(encodeReads(["a", "b", "c"]));
      await harness.waitFor(() => caller.hasEnded, "the connection ends");
      assert.ok(caller.listAnswers().every(({ isWhole }) => !isWhole));
      await harness.waitFor(() => ended === 2, "the requests ahead are cancelled");
      assert.ok(performance.now() - startedAt < 3_000);
      assert.equal(await vm.readCounter(COUNTER, { event: "cancelled" }), 2);
    });
  });

  test.test("a reset that arrives with the last bytes is taken for the end of a response", async () => {
    await withCaller(3, async (vm, caller) => {
      let hasReset = false;
      setBehaviour(vm, (id, request, response) => {
        if (id !== "a") {
          harness.answerSuccess(request, response);
          return;
        }
        answerUnframed(request, LONG_BODY, false);
        request.socket.once("close", () => hasReset = true);
      });
      caller.send(encodeReads(["a", "b", "c"]));
      await harness.waitFor(() => caller.received.length > 0, "the response begins");
      // So that the VM reads neither, and then both at once.
      caller.pause();
      await harness.waitFor(() => hasReset, "the target resets its connection");
      caller.resume();
      await harness.waitFor(() => caller.hasEnded, "the connection ends");
      const [first, ...others] = caller.listAnswers();
      assert.equal(first?.status, 200);
      assert.equal(first.isWhole, false);
      assert.deepEqual(others, []);
    });
  });

  test.test("a long response is read ahead without a bound, or cut off at its turn", async () => {
    await withCaller(3, async (vm, caller) => {
      let sent = 0;
      setBehaviour(vm, (id, request, response) => {
        if (id === "a") {
          setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
          return;
        }
        response.writeHead(200, {
          ...harness.createAnswerHeaders(request),
          "Content-Length": LONG_BODY.length,
        });
        response.end(LONG_BODY, () => sent++);
      });
      caller.send(encodeReads(["a", "b"]));
      await kernel.sleep(WORK_MILLISECONDS / 2);
      assert.equal(sent, 0, "the target waits");
      const answers = await caller.readAnswers(2);
      assert.deepEqual(
        answers.map(({ id, body, isWhole }) => [id, body.length, isWhole]),
        [["a", 4, true], ["b", LONG_BODY.length, true]],
      );
    });
  });

  test.test("a long response that breaks off before its turn ends the connection", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        if (id === "b") {
          response.writeHead(200, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": 200_000,
          });
          response.write(LONG_BODY.subarray(0, 150_000));
          setTimeout(() => request.socket.resetAndDestroy(), 100);
        } else {
          setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
        }
      });
      caller.send(encodeReads(["a", "b", "c"]));
      const answers = await caller.readAnswers(3);
      assert.deepEqual(
        answers.map(({ id, status }) => [id, status]),
        [["a", 200], ["b", 502], ["c", 200]],
      );
    });
  });

  test.test("requests run on after their caller has left", async () => {
    await withCaller(3, async (vm, caller) => {
      let ended = 0;
      setBehaviour(vm, (_id, request, response) => {
        response.once("close", () => ended++);
        setTimeout(() => harness.answerSuccess(request, response), 4_000);
      });
      caller.send(encodeReads(["a", "b", "c", "d"]));
      await harness.waitFor(() => listArrived(vm).length === 4, "all are passed on");
      caller.close();
      await harness.waitFor(() => ended === 4, "all are cancelled", 2_000);
      assert.equal(await vm.readCounter(COUNTER, { event: "cancelled" }), 3);
    });
  });

  test.test("a stop drops a response that waits, since the one before it takes too long", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        // Longer than the grace period.
        const milliseconds = id === "a" ? 6_000 : 100;
        setTimeout(() => harness.answerSuccess(request, response), milliseconds);
      });
      caller.send(encodeReads(["a", "b", "c"]));
      await harness.waitFor(() => listArrived(vm).length === 3, "they are passed on");
      const startedAt = performance.now();
      const stopped = vm.stop();
      await harness.waitFor(() => caller.hasEnded, "the connection ends", 10_000);
      const milliseconds = performance.now() - startedAt;
      assert.ok(milliseconds < harness.BOUNDS.graceMilliseconds, `${milliseconds} ms`);
      assert.equal(caller.isReset, false, "a reset may drop what is on its way");
      assert.deepEqual(
        caller.listAnswers().map(({ id, status, isWhole, endsConnection }) => [
          id,
          status,
          isWhole,
          endsConnection,
        ]),
        [["a", 504, true, false], ["b", 200, true, false], ["c", 200, true, true]],
      );
      await stopped;
    });
  });

  test.test("a stop drops a response behind a long one whose rest does not come", async () => {
    await withCaller(3, async (vm, caller) => {
      setBehaviour(vm, (id, request, response) => {
        if (id === "b") {
          response.writeHead(200, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": 400_000,
          });
          response.write(LONG_BODY.subarray(0, 200_000));
          return;
        }
        const milliseconds = id === "a" ? WORK_MILLISECONDS : 100;
        setTimeout(() => harness.answerSuccess(request, response), milliseconds);
      });
      caller.send(encodeReads(["a", "b", "c"]));
      await harness.waitFor(() => listArrived(vm).length === 3, "they are passed on");
      const stopped = vm.stop();
      await harness.waitFor(() => caller.hasEnded, "the connection ends", 10_000);
      assert.deepEqual(
        caller.listAnswers().map(({ id, status, isWhole }) => [id, status, isWhole]),
        [["a", 200, true], ["b", 504, true], ["c", 200, true]],
      );
      await stopped;
    });
  });

  for (const isDecided of [false, true]) {
    const when = isDecided ? "whose responses wait" : "that still run";
    test.test(`a stop loses requests ahead ${when}`, async () => {
      await withCaller(3, async (vm, caller) => {
        const rest = isDecided ? 0 : 3_000;
        setBehaviour(vm, (id, request, response) => {
          // The listener closes 2.8 s after the stop begins.
          const milliseconds = id === "a" ? 3_200 : rest;
          setTimeout(() => harness.answerSuccess(request, response), milliseconds);
        });
        caller.send(encodeReads(["a", "b", "c"]));
        await harness.waitFor(() => listArrived(vm).length === 3, "they are passed on");
        const stopped = vm.stop();
        await kernel.sleep(50);
        caller.send(encodeReads(["d"]));
        await kernel.sleep(200);
        assert.deepEqual(listArrived(vm), ["a", "b", "c"], "nothing starts ahead in a stop");
        await harness.waitFor(() => caller.hasEnded, "the connection ends", 10_000);
        const answers = caller.listAnswers();
        assert.deepEqual(
          answers.map(({ id, status, isWhole, endsConnection }) => [
            id,
            status,
            isWhole,
            endsConnection,
          ]),
          [["a", 200, true, false], ["b", 200, true, false], ["c", 200, true, true]],
        );
        assert.deepEqual(listArrived(vm), ["a", "b", "c"]);
        await stopped;
      });
    });
  }
});
