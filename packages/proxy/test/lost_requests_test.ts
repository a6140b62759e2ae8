/**
 * Guards against requests that are passed on to a target and lose their response, since their
 * caller's connection ends before it is sent.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const WORK_MILLISECONDS = 200;

/** Longer than what the buffers of a loopback connection take up while its caller does not read. */
const LONG_BODY = "x".repeat(6_000_000);

/** Responds after some time. */
function answerSlowly(request: http.IncomingMessage, response: http.ServerResponse): void {
  setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
}

function listArrived(vm: harness.TestVm): unknown[] {
  return vm.targets.flatMap(({ requests }) =>
    requests.map(({ headers }) => headers[harness.PROFILE.requestId])
  );
}

/** Checks that each request that a target received has its whole response, in order. */
function assertNoneLost(vm: harness.TestVm, answers: readonly raw.RawAnswer[]): void {
  const answered = answers.filter(({ isWhole }) => isWhole).map(({ id }) => id);
  const lost = listArrived(vm).filter((id) => !answered.includes(String(id)));
  assert.deepEqual(lost, []);
}

test.describe("requests behind the response that ends their connection", () => {
  for (const isChunked of [false, true]) {
    const framing = isChunked ? "in chunks" : "with a length";
    test.test(`pipelined requests ${framing} are passed on and lost at a stop`, async () => {
      await harness.withVm(2, async (vm) => {
        vm.targets.forEach((target) => target.behaviour = answerSlowly);
        const callers = Array.from({ length: 6 }, () => new raw.RawCaller(vm));
        const request = { body: "some body", isChunked };
        callers.forEach((caller, index) =>
          caller.send(
            ["a", "b", "c"].map((id) => raw.encodeRequest({ ...request, id: `${index}${id}` }))
              .join(""),
          )
        );
        await kernel.sleep(WORK_MILLISECONDS / 2);
        const stopped = vm.stop();
        const answers = await Promise.all(callers.map((caller) => caller.readAnswers(3)));
        assertNoneLost(vm, answers.flat());
        assert.equal(answers.flat().filter(({ status }) => status === 200).length, 18);
        callers.forEach((caller) => caller.close());
        await stopped;
      });
    });
  }

  const UNFRAMED = (request: http.IncomingMessage) =>
    request.socket.end(
      `HTTP/1.1 200 OK\r\n${harness.PROFILE.requestId}: ${
        String(request.headers[harness.PROFILE.requestId])
      }\r\n${harness.PROFILE.signature}: signed\r\nConnection: close\r\n\r\nall of it`,
    );

  test.test("pipelined requests behind a response without a length are passed on and lost", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request) => void setTimeout(() => UNFRAMED(request), WORK_MILLISECONDS);
      const caller = new raw.RawCaller(vm);
      caller.send(["a", "b", "c"].map((id) => raw.encodeRequest({ id })).join(""));
      assertNoneLost(vm, await caller.readAnswers(3));
      caller.close();
    });
  });

  test.test("pipelined requests behind the caller's own end of the connection are passed on", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = answerSlowly;
      const caller = new raw.RawCaller(vm);
      caller.send(
        raw.encodeRequest({ id: "a", headers: ["Connection: close"] }) +
          raw.encodeRequest({ id: "b" }),
      );
      const answers = await caller.readAnswers(2);
      assert.deepEqual(answers.map(({ id, isWhole }) => [id, isWhole]), [["a", true]]);
      assert.deepEqual(listArrived(vm), ["a"]);
      caller.close();
    });
  });

  for (
    const [what, ending] of [
      ["of HTTP/1.0", { version: "1.0" }],
      ["that ends its connection", { headers: ["Connection: close"] }],
    ] as const
  ) {
    for (const isStopping of [false, true]) {
      const when = isStopping ? "at a stop" : "at any time";
      test.test(`a request behind one ${what} gets a response before it, ${when}`, async () => {
        await harness.withVm(1, async (vm) => {
          vm.targets.forEach((target) => target.behaviour = answerSlowly);
          const caller = new raw.RawCaller(vm);
          caller.send(
            raw.encodeRequest({ id: "first", ...ending }) + raw.encodeRequest({ id: "behind" }),
          );
          await kernel.sleep(WORK_MILLISECONDS / 4);
          // Data behind a request that ends its connection is an error for some parsers only.
          caller.send(raw.encodeRequest({ id: "later" }));
          const stopped = isStopping ? vm.stop() : Promise.resolve();
          const answers = await caller.readAnswers(3);
          assert.deepEqual(
            answers.map(({ id, status, isWhole }) => [id, status, isWhole]),
            [["first", 200, true]],
          );
          assert.equal(caller.isReset, false);
          assert.deepEqual(listArrived(vm), ["first"]);
          caller.close();
          await stopped;
        });
      });
    }
  }

  test.test("bytes that are no request take the responses before them with them", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = answerSlowly;
      for (
        const [index, garbage] of ["no request\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\n\r\n"].entries()
      ) {
        const caller = new raw.RawCaller(vm);
        caller.send(raw.encodeRequest({ id: `garbage-${index}` }) + garbage);
        const answers = await caller.readAnswers(2);
        assert.deepEqual([answers[0]?.status, answers[0]?.id], [200, `garbage-${index}`]);
        assert.ok([400, 501].includes(answers[1]?.status ?? 0), `${answers[1]?.status}`);
        await harness.waitFor(() => caller.hasEnded, "the VM ends the connection");
        caller.close();
      }
    });
  });
});

test.describe("responses of the runtime itself", () => {
  for (
    const head of ["GET /reads/1 HTTP/1.1", "GET /reads/1 HTTP/1.1\r\nHost: a\r\nExpect: more"]
  ) {
    test.test(`a request is lost behind one that the runtime refuses: ${head.length}`, async () => {
      await harness.withVm(1, async (vm) => {
        const caller = new raw.RawCaller(vm);
        const [first, last] = ["a", "c"].map((id) => raw.encodeRequest({ id }));
        caller.send(`${first}${head}\r\n${harness.PROFILE.requestId}: b\r\n\r\n${last}`);
        const answers = await caller.readAnswers(3);
        assert.deepEqual(answers.map(({ id }) => id), ["a", "b", "c"]);
        assertNoneLost(vm, answers);
        caller.close();
      });
    });
  }

  test.test("a response with a status that is none leaves its request unanswered", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request) =>
        request.socket.end(
          `HTTP/1.1 042 None\r\n${harness.PROFILE.requestId}: ${
            String(request.headers[harness.PROFILE.requestId])
          }\r\nContent-Length: 0\r\n\r\n`,
        );
      assert.equal((await vm.call()).status, 502);
    });
  });
});

test.describe("a response that is not delivered yet", () => {
  test.test("a request that crosses the end of a connection cuts the response before it", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) => {
        response.writeHead(200, harness.createAnswerHeaders(request));
        response.end(LONG_BODY.slice(0, 400_000));
      };
      const callers = Array.from({ length: 6 }, () => new raw.RawCaller(vm));
      const stopped = kernel.sleep(100).then(() => vm.stop());
      await Promise.all(callers.map(async (caller, index) => {
        caller.pause();
        await kernel.sleep(200);
        caller.send(raw.encodeRequest({ id: `first-${index}` }));
        await kernel.sleep(700);
        caller.send(raw.encodeRequest({ id: `second-${index}` }));
        await kernel.sleep(60);
        caller.resume();
        await harness.waitFor(() => caller.hasEnded, "the connection ends", 10_000);
        const [answer] = caller.listAnswers();
        assert.deepEqual([answer?.isWhole, answer?.body.length], [true, 400_000]);
        caller.close();
      }));
      await stopped;
    });
  });

  test.test("more bytes that are no request cut the response before them", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) => {
        response.writeHead(200, harness.createAnswerHeaders(request));
        response.end(LONG_BODY.slice(0, 400_000));
      };
      const caller = new raw.RawCaller(vm);
      caller.pause();
      caller.send(raw.encodeRequest({ id: "first" }));
      for (let round = 0; round < 10; round++) {
        await kernel.sleep(50);
        caller.send("no request\r\n\r\n");
      }
      caller.resume();
      await harness.waitFor(() => caller.hasEnded, "the connection ends");
      const [answer, refused] = caller.listAnswers();
      assert.deepEqual([answer?.isWhole, answer?.body.length], [true, 400_000]);
      assert.equal(refused?.status, 400);
      caller.close();
    });
  });

  test.test("a caller that reads slowly loses its response when the listener closes", async () => {
    await harness.withVm(
      1,
      async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        target.behaviour = (request, response) => {
          response.writeHead(200, harness.createAnswerHeaders(request));
          response.end(LONG_BODY);
        };
        const caller = new raw.RawCaller(vm);
        caller.send(raw.encodeRequest({ id: "slow-reader" }));
        await harness.waitFor(() => caller.received.length > 0, "the response begins");
        caller.pause();
        const stopped = vm.stop();
        // The listener closes 2.8 s after the stop begins.
        await kernel.sleep(3_300);
        caller.resume();
        await harness.waitFor(() => caller.hasEnded, "the connection ends", 10_000);
        const [answer] = caller.listAnswers();
        assert.deepEqual([answer?.isWhole, answer?.body.length], [true, LONG_BODY.length]);
        caller.close();
        await stopped;
      },
      harness.createDeclarations(1, {
        routes: [harness.createRoute({ timeoutMilliseconds: 8_000 })],
      }),
    );
  });
});

test.test("requests that are read ahead are limited and all answered in order", async () => {
  await harness.withVm(
    2,
    async (vm) => {
      const caller = new raw.RawCaller(vm);
      const ids = Array.from({ length: 200 }, (_, index) => `p${index}`);
      caller.send(
        ids.map((id) => raw.encodeRequest({ id, method: "GET", path: "/reads/1" })).join(""),
      );
      const answers = await caller.readAnswers(ids.length);
      assert.deepEqual(answers.map(({ id, status }) => [id, status]), ids.map((id) => [id, 200]));
      caller.close();
    },
    // The time of each request counts from its arrival, while those before it are handled.
    harness.createDeclarations(1, {
      routes: [harness.createRoute({
        pathPrefix: "/reads/",
        isIdempotent: true,
        timeoutMilliseconds: 10_000,
      })],
    }),
  );
});

test.test("a slow request is given up while its VM stops", async () => {
  await harness.withVm(
    1,
    async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) =>
        void setTimeout(() => harness.answerSuccess(request, response), 3_000);
      const answer = vm.call({
        path: "/reads/1",
        method: "GET",
        headers: { [harness.PROFILE.deadline]: "10000" },
      });
      await harness.waitFor(() => target.requests.length === 1, "the request is passed on");
      const stopped = vm.stop();
      assert.equal((await answer).status, 200);
      await stopped;
    },
    harness.createDeclarations(1, {
      routes: [harness.createRoute({
        pathPrefix: "/reads/",
        isIdempotent: true,
        attempts: 3,
        timeoutMilliseconds: 10_000,
      })],
    }),
  );
});
