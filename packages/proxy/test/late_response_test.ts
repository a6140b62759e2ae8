/**
 * Tests of responses that arrive late: second copies on a connection that is in use again, and long
 * responses during a planned stop.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const { PROFILE } = harness;

/** Longer than what is buffered of a response, and than what is read of one that is not used. */
const LONG_ERROR_BYTES = 4_000_000;

/** Time for which a VM that stops accepts new connections. */
const LISTENER_OPEN_MILLISECONDS = 2_800;

/** The second copy of the rejection of an earlier request. */
function createRejection(id: string): string {
  return `HTTP/1.1 503 Unavailable\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.notRun}: 1\r\n` +
    "Content-Length: 0\r\n\r\n";
}

test.describe("late responses", { concurrency: 4 }, () => {
  test.test("a request is refused as not run because of the second copy of another's rejection", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      const sockets: net.Socket[] = [];
      target.behaviour = (request, response) => {
        const id = String(request.headers[PROFILE.requestId]);
        sockets.push(request.socket);
        if (sockets.length === 1) {
          harness.answerSuccess(request, response);
          return;
        }
        if (sockets.length === 2) {
          response.writeHead(503, { [PROFILE.requestId]: id, [PROFILE.notRun]: "1" }).end();
          return;
        }
        request.socket.write(createRejection("rejected"));
        setTimeout(() => harness.answerSuccess(request, response), 20);
      };
      // A connection is kept from its first complete response on.
      assert.equal((await vm.call()).status, 200);
      const headers = { [PROFILE.requestId]: "rejected" };
      assert.equal((await vm.call({ headers })).status, 503);
      await kernel.sleep(20);
      const answer = await vm.call();
      assert.ok(sockets[2] === sockets[1], "the connection is used again");
      assert.equal(answer.status, 502);
    });
  });

  test.test("a long response is cut off by a planned stop", async () => {
    const routes = [harness.createRoute({ timeoutMilliseconds: 3_000 })];
    const vm = new harness.TestVm();
    await vm.start(1, harness.createDeclarations(1, { routes }));
    const [target] = vm.targets;
    assert.ok(target !== undefined);
    target.behaviour = (request, response) => {
      response.writeHead(200, harness.createAnswerHeaders(request));
      response.write("x".repeat(400_000));
      setTimeout(() => response.end("end"), 1_200);
    };
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    assert.equal((await vm.call({ agent })).status, 200);
    const stopped = vm.stop();
    // Shortly before the VM closes idle connections.
    await kernel.sleep(2_400);
    const answer = await vm.call({ agent });
    await stopped;
    agent.destroy();
    assert.deepEqual([answer.status, answer.isComplete, answer.body.length], [200, true, 400_003]);
  });

  for (const [ending, isWhole] of [["resets", false], ["ends in order", true]] as const) {
    test.test(`a long answer without a length that its target ${ending} looks otherwise to the caller`, async () => {
      const routes = [harness.createRoute({ timeoutMilliseconds: 10_000, isIdempotent: true })];
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        let end: () => void = assert.fail;
        target.behaviour = ({ socket, headers }) => {
          const id = String(headers[PROFILE.requestId]);
          socket.write(`HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${id}\r\n`);
          socket.write(`${PROFILE.signature}: signed\r\n\r\n${"x".repeat(400_000)}`);
          end = () => isWhole ? socket.end() : socket.resetAndDestroy();
        };
        const caller = new raw.RawCaller(vm);
        caller.send(raw.encodeRequest({ id: "request", method: "GET" }));
        await harness.waitFor(() => caller.received.length > 0, "the response has begun");
        end();
        const answers = await caller.readAnswers(1);
        // A caller is told by the last chunk, whatever ends the connection.
        assert.deepEqual(
          answers.map((answer) => [answer.status, answer.delimiting, answer.isWhole]),
          [[200, "chunks", isWhole]],
        );
        caller.close();
      }, harness.createDeclarations(1, { routes }));
    });
  }

  test.test("a long answer stays in memory although its caller has left", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      const caller = new AbortController();
      let hasAnswered = false;
      let isClosed = false;
      target.behaviour = (request, response) => {
        request.socket.once("close", () => isClosed = true);
        caller.abort();
        // After the VM has seen that the caller has left.
        setTimeout(() => {
          response.writeHead(200, harness.createAnswerHeaders(request));
          response.end("x".repeat(8_000_000));
          hasAnswered = true;
        }, 200);
      };
      await vm.call({ signal: caller.signal });
      await harness.waitFor(() => hasAnswered, "the target answers");
      await harness.waitFor(() => isClosed, "its connection is closed", 1_500);
    });
  });

  test.test("a long error stays in memory although its request was sent to another target", async () => {
    await harness.withVm(2, async (vm) => {
      let calls = 0;
      let isClosed = false;
      const behaviour: harness.Behaviour = (request, response) => {
        if (calls++ > 0) {
          harness.answerSuccess(request, response);
          return;
        }
        request.socket.once("close", () => isClosed = true);
        response.writeHead(500, harness.createAnswerHeaders(request)).end("x".repeat(8_000_000));
      };
      vm.targets.forEach((target) => target.behaviour = behaviour);
      assert.equal((await vm.call({ method: "GET", path: "/reads/1" })).status, 200);
      await harness.waitFor(() => isClosed, "the first connection is closed", 1_500);
    });
  });

  test.test("a long error is cut off when its VM stops before another attempt", async () => {
    await harness.withVm(
      2,
      async (vm) => {
        vm.targets.forEach((target) => {
          target.behaviour = (request, response) => {
            setTimeout(() => {
              response.writeHead(500, harness.createAnswerHeaders(request));
              response.end("x".repeat(LONG_ERROR_BYTES));
            }, LISTENER_OPEN_MILLISECONDS + 500);
          };
        });
        const headers = { [harness.PROFILE.deadline]: "20000" };
        const pending = vm.call({ method: "GET", path: "/reads/1", headers });
        await harness.waitFor(() => vm.countRequests() === 1, "the request is passed on");
        const stopped = vm.stop();
        const answer = await pending;
        await stopped;
        assert.equal(vm.countRequests(), 1, "there is no time for another attempt");
        assert.deepEqual(
          [answer.status, answer.isComplete, answer.body.length],
          [500, true, LONG_ERROR_BYTES],
        );
      },
      harness.createDeclarations(1, {
        routes: [harness.createRoute({
          pathPrefix: "/reads/",
          isIdempotent: true,
          attempts: 2,
          // The expected time of an attempt is longer than what is left until the end of the stop.
          objectiveMilliseconds: 10_000,
          timeoutMilliseconds: 20_000,
        })],
      }),
    );
  });
});
