/**
 * Tests of the request path: one VM, real connections, and targets that fail in various ways.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

function answerError(request: http.IncomingMessage, response: http.ServerResponse): void {
  response.writeHead(500, harness.createAnswerHeaders(request));
  response.end("failing");
}

/** Rejects a request without running it. */
function rejectRequest(response: http.ServerResponse, retryAfter: string): void {
  response.writeHead(503, { [PROFILE.notRun]: "1", "Retry-After": retryAfter }).end();
}

function setAll(vm: harness.TestVm, behaviour: harness.Behaviour): void {
  vm.targets.forEach((target) => target.behaviour = behaviour);
}

test.describe("request path", { concurrency: 4 }, () => {
  test.test("a request is forwarded completely, without the key and with its workspace", async () => {
    await harness.withVm(1, async (vm) => {
      const bodies: string[] = [];
      setAll(vm, (request, response, body) => {
        bodies.push(body);
        harness.answerSuccess(request, response);
      });
      const answer = await vm.call({
        path: "/bookings/7?corner=3",
        body: "a pitch",
        headers: { [PROFILE.workspace]: "forged", "X-Other": "kept" },
      });
      assert.deepEqual([answer.status, answer.body, answer.isComplete], [200, "done", true]);
      const request = vm.targets[0]?.requests[0] ?? assert.fail();
      assert.equal(request.url, "/bookings/7?corner=3");
      assert.equal(request.headers.authorization, undefined);
      assert.equal(request.headers[PROFILE.workspace], "city");
      assert.equal(request.headers[PROFILE.expectedTarget], "target-0");
      assert.equal(request.headers["x-other"], "kept");
      assert.ok(Number(request.headers[PROFILE.deadline]) <= 1_000);
      assert.deepEqual(bodies, ["a pitch"]);
    });
  });

  test.test("unknown routes and unknown keys are distinguished", async () => {
    await harness.withVm(1, async (vm) => {
      assert.equal((await vm.call({ path: "/elsewhere/1" })).status, 404);
      assert.equal((await vm.call({ headers: { Authorization: "Bearer wrong" } })).status, 401);
      assert.equal(vm.countRequests(), 0);
    });
  });

  test.test("a request that may not run twice is never sent again after it may have run", async () => {
    await harness.withVm(3, async (vm) => {
      setAll(vm, answerError);
      assert.equal((await vm.call()).status, 500);
      setAll(vm, (request) => request.socket.destroy());
      assert.equal((await vm.call()).status, 502);
      assert.equal(vm.countRequests(), 2);
    });
  });

  test.test("an idempotent request is sent to another target, at most as often as allowed", async () => {
    await harness.withVm(3, async (vm) => {
      let calls = 0;
      setAll(vm, (request, response) => {
        calls++;
        (calls === 1 ? answerError : harness.answerSuccess)(request, response);
      });
      assert.equal((await vm.call({ path: "/reads/1", method: "GET" })).status, 200);
      assert.equal(calls, 2);
      setAll(vm, answerError);
      const before = vm.countRequests();
      assert.equal((await vm.call({ path: "/reads/1", method: "GET" })).status, 500);
      assert.equal(vm.countRequests() - before, 2);
    });
  });

  test.test("a request that its target has not run is retried, even if it is not idempotent", async () => {
    await harness.withVm(2, async (vm) => {
      let sheds = 0;
      setAll(vm, (request, response) => {
        if (sheds++ > 0) {
          harness.answerSuccess(request, response);
          return;
        }
        response.writeHead(503, { ...harness.createAnswerHeaders(request), [PROFILE.notRun]: "1" });
        response.end();
      });
      assert.equal((await vm.call()).status, 200);
      assert.equal(vm.countRequests(), 2);
    });
  });

  test.test("a request that no target has run is refused as not run, with a Retry-After header", async () => {
    await harness.withVm(2, async (vm) => {
      setAll(vm, (request, response) => {
        response.writeHead(421, harness.createAnswerHeaders(request));
        response.end();
      });
      const answer = await vm.call();
      assert.equal(answer.status, 503);
      assert.ok(Number(answer.headers["retry-after"]) > 0);
    });
  });

  test.test("a response without a length is complete if its connection is reset, or not if it ends", async () => {
    await harness.withVm(1, async (vm) => {
      const send = ({ socket, headers }: http.IncomingMessage, body: string) => {
        socket.write(
          `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${String(headers[PROFILE.requestId])}\r\n` +
            `${PROFILE.signature}: signed\r\nConnection: close\r\n\r\n${body}`,
        );
      };
      setAll(vm, (request) => {
        send(request, "all of it");
        request.socket.end();
      });
      const answer = await vm.call();
      assert.deepEqual([answer.status, answer.body, answer.isComplete], [200, "all of it", true]);
      setAll(vm, (request) => {
        send(request, "half of it");
        setTimeout(() => request.socket.resetAndDestroy(), 20);
      });
      assert.equal((await vm.call()).status, 502);
    });
  });

  test.test("a truncated, mismatched or unsigned response does not reach the caller", async () => {
    await harness.withVm(1, async (vm) => {
      const head = (id: string) =>
        `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.signature}: s\r\n`;
      const sends: ((request: http.IncomingMessage) => string)[] = [
        (request) =>
          `${head(String(request.headers[PROFILE.requestId]))}Content-Length: 9\r\n\r\n1`,
        () => `${head("another")}Content-Length: 1\r\n\r\n1`,
        (request) =>
          `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${
            String(request.headers[PROFILE.requestId])
          }\r\nContent-Length: 1\r\n\r\n1`,
        () => "no answer at all\r\n\r\n",
      ];
      for (const send of sends) {
        setAll(vm, (request) => request.socket.end(send(request)));
        const answer = await vm.call();
        assert.equal(answer.status, 502);
      }
    });
  });

  test.test("bytes that follow a response are not used for a later request", async () => {
    await harness.withVm(1, async (vm) => {
      setAll(vm, (request, response) => {
        harness.answerSuccess(request, response);
        const { socket } = request;
        setTimeout(() =>
          socket.write(
            `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: late\r\n` +
              `${PROFILE.signature}: s\r\nContent-Length: 4\r\n\r\nlate`,
          ), 20);
      });
      for (let round = 0; round < 5; round++) {
        const answer = await vm.call({ path: "/reads/1", method: "GET" });
        assert.deepEqual([answer.status, answer.body], [200, "done"]);
        await kernel.sleep(40);
      }
    });
  });

  test.test("a request that takes too long gets its final response at the route's timeout", async () => {
    await harness.withVm(1, async (vm) => {
      setAll(vm, () => undefined);
      const startedAt = performance.now();
      const answer = await vm.call();
      const elapsed = performance.now() - startedAt;
      assert.equal(answer.status, 504);
      assert.ok(elapsed >= 900 && elapsed < 1_500, `after ${elapsed} ms`);
    });
  });

  test.test("a call is cancelled at the target when its caller has disconnected", async () => {
    await harness.withVm(1, async (vm) => {
      let isCancelled = false;
      setAll(vm, (request) => {
        request.socket.once("close", () => isCancelled = true);
      });
      const caller = new AbortController();
      const call = vm.call({ path: "/reads/1", method: "GET", signal: caller.signal });
      await harness.waitFor(() => vm.countRequests() === 1, "the request arrives");
      caller.abort();
      await call;
      await harness.waitFor(() => isCancelled, "the target sees the disconnect");
    });
  });

  test.test("a withdrawn key stops working and a drained target gets no requests", async () => {
    await harness.withVm(2, async (vm) => {
      const [first, second] = vm.targets;
      assert.ok(first !== undefined && second !== undefined);
      vm.store.put(first.createChange(50, { isDraining: true }));
      await kernel.sleep(500);
      for (let round = 0; round < 6; round++) {
        assert.equal((await vm.call()).status, 200);
      }
      assert.equal(first.requests.length, 0);
      vm.store.declared = harness.createDeclarations(2, {
        workspaces: [{
          id: model.createWorkspaceId("city"),
          keys: ["new"],
          priority: undefined,
          ratePerSecond: undefined,
          burst: 0,
        }],
      });
      vm.store.revision++;
      await kernel.sleep(500);
      assert.equal((await vm.call()).status, 401);
      assert.equal((await vm.call({ headers: { Authorization: "Bearer new" } })).status, 200);
    });
  });

  test.test("a target that requests a pause gets no request until it is over", async () => {
    await harness.withVm(2, async (vm) => {
      const [first, second] = vm.targets;
      assert.ok(first !== undefined && second !== undefined);
      first.behaviour = (_request, response) => rejectRequest(response, "1.5");
      while (first.requests.length === 0) {
        assert.equal((await vm.call({ path: "/reads/1" })).status, 200);
      }
      const pausedAt = performance.now();
      first.behaviour = harness.answerSuccess;
      while (performance.now() - pausedAt < 1_300) {
        const path = performance.now() % 2 < 1 ? "/reads/1" : "/bookings/1";
        assert.equal((await vm.call({ path })).status, 200);
        await kernel.sleep(10);
      }
      assert.equal(first.requests.length, 1);
      await kernel.sleep(400);
      for (let round = 0; round < 40; round++) {
        assert.equal((await vm.call({ path: "/reads/1" })).status, 200);
      }
      assert.ok(first.requests.length > 1, "the pause is over");
    });
  });

  test.test("a pause that states no time is logged and ignored", async () => {
    await harness.withVm(1, async (vm) => {
      for (const stated of ["soon", "-3", "0"]) {
        setAll(vm, (_request, response) => rejectRequest(response, stated));
        assert.equal((await vm.call()).status, 503);
      }
      setAll(vm, harness.answerSuccess);
      assert.equal((await vm.call()).status, 200);
      const { code } = kernel.LogMessages.targetPauseInvalid;
      assert.equal(vm.log.filter((line) => line.code === code).length, 3);
    });
  });

  test.test("while all targets are paused, a request is refused at once with their time", async () => {
    await harness.withVm(2, async (vm) => {
      setAll(vm, (_request, response) => rejectRequest(response, "20"));
      const rejected = await vm.call();
      assert.equal(rejected.status, 503);
      while (vm.countRequests() < 2) {
        await vm.call();
      }
      const startedAt = performance.now();
      const refused = await vm.call({ path: "/reads/1" });
      assert.ok(performance.now() - startedAt < 200, "at once");
      assert.equal(refused.status, 503);
      assert.match(refused.body, /targets_paused/);
      const retryAfter = Number(refused.headers["retry-after"]);
      assert.ok(retryAfter > 15 && retryAfter <= 20, `${retryAfter} s`);
      assert.equal(vm.countRequests(), 2);
    });
  });

  test.test("a request waits for a pause that ends in time", async () => {
    await harness.withVm(1, async (vm) => {
      setAll(vm, (_request, response) => rejectRequest(response, "0.15"));
      assert.equal((await vm.call()).status, 503);
      setAll(vm, harness.answerSuccess);
      assert.equal((await vm.call()).status, 200);
    });
  });

  test.test("a request that waits for a connection is not sent to a target that leaves", async () => {
    await harness.withVm(2, async (vm) => {
      const [first, second] = vm.targets;
      assert.ok(first !== undefined && second !== undefined);
      let isLeaving = false;
      first.behaviour = (request, response) => {
        const head = { ...harness.createAnswerHeaders(request), [PROFILE.leaving]: "1" };
        // The response overtakes requests that are placed while it is on its way.
        setTimeout(() => {
          isLeaving = true;
          response.writeHead(200, head).end("done");
        }, 100);
      };
      let late = 0;
      const calls: Promise<harness.CallerAnswer>[] = [];
      const endsAt = performance.now() + 2_000;
      while (performance.now() < endsAt) {
        const before = first.requests.length;
        calls.push(vm.call());
        await kernel.sleep(5);
        late += isLeaving ? first.requests.length - before : 0;
      }
      assert.ok((await Promise.all(calls)).every(({ status }) => status === 200));
      assert.ok(isLeaving);
      assert.equal(late, 0);
    });
  });

  test.test("bodies and heads beyond the declared limits are refused", async () => {
    await harness.withVm(1, async (vm) => {
      assert.equal((await vm.call({ body: "x".repeat(100_001) })).status, 413);
      assert.equal((await vm.call({ headers: { "X-Long": "x".repeat(5_000) } })).status, 431);
      assert.equal(vm.countRequests(), 0);
    });
  });

  test.test("a long body of unknown length is refused once it is beyond the limit", async () => {
    const limits = { ...harness.createDeclarations(1).limits, bodyBytes: 400_000 };
    await harness.withVm(1, async (vm) => {
      const lengths: number[] = [];
      setAll(vm, (request, response, body) => {
        lengths.push(body.length);
        harness.answerSuccess(request, response);
      });
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      const send = (bytes: number) =>
        vm.call({ agent, body: "x".repeat(bytes), headers: { "Transfer-Encoding": "chunked" } });
      assert.equal((await send(500_000)).status, 413);
      assert.equal((await send(400_000)).status, 200);
      agent.destroy();
      assert.deepEqual(lengths, [400_000]);
    }, harness.createDeclarations(1, { limits }));
  });

  test.test("a planned stop cuts off no request, not even a late one on a kept connection", async () => {
    const vm = new harness.TestVm();
    await vm.start(1);
    setAll(vm, (request, response) => {
      setTimeout(() => harness.answerSuccess(request, response), 400);
    });
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let isStopped = false;
    const stopped = vm.stop().then(() => isStopped = true);
    const statuses: number[] = [];
    while (!isStopped && statuses.length < 40) {
      const answer = await vm.call({ agent });
      if (answer.status === 0) {
        break;
      }
      statuses.push(answer.status);
    }
    await stopped;
    agent.destroy();
    assert.equal(vm.countRequests(), statuses.length);
    assert.ok(statuses.length >= 5, `${statuses.length} requests`);
    assert.ok(statuses.every((status) => status === 200), statuses.join(" "));
  });

  test.test("a body of a known length is forwarded once", async () => {
    await harness.withVm(1, async (vm) => {
      const answer = await vm.call({ body: "y".repeat(90_000) });
      assert.equal(answer.status, 200);
      assert.equal(vm.targets[0]?.requests[0]?.headers["content-length"], "90000");
    });
  });

  test.test("an answer that has no body closes its caller's connection", async () => {
    await harness.withVm(1, async (vm) => {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      for (const [method, status] of [["GET", 204], ["GET", 304], ["HEAD", 200]] as const) {
        setAll(vm, (request, response) => {
          response.writeHead(status, harness.createAnswerHeaders(request)).end();
        });
        const answer = await vm.call({ agent, method, path: "/reads/1" });
        assert.equal(answer.status, status);
        assert.notEqual(answer.headers.connection, "close", `${method} ${status}`);
      }
      agent.destroy();
    });
  });

  for (const [what, address, id] of [["port", "127.9.9.9:99999", "i"], ["id", "", "ü€"]] as const) {
    test.test(`a target whose ${what} no request can have costs requests their answer`, async () => {
      await harness.withVm(2, async (vm) => {
        const [first] = vm.targets;
        assert.ok(first !== undefined);
        const forged = first.createChange(50, address === "" ? {} : { address });
        const forgedId = model.createTargetId(id);
        const entry = { ...kernel.getDefined(forged.entry, "It is present."), id: forgedId };
        vm.store.put({ ...forged, id: forgedId, entry });
        await kernel.sleep(500);
        for (let round = 0; round < 30; round++) {
          assert.equal((await vm.call()).status, 200);
        }
        assert.equal(vm.countRequests(), 30);
        const { code } = kernel.LogMessages.unexpectedRequestError;
        assert.equal(vm.log.filter((line) => line.code === code).length, 0);
      });
    });
  }
});
