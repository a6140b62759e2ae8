/**
 * Tests of the bodies of requests on their way to a target: how they are delimited, and what becomes
 * of the target's connection when one of them is not sent to its end.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as test from "node:test";
import * as harness from "./harness.ts";

const { PROFILE } = harness;

/** Longer than what is buffered. */
const LONG_BYTES = 400_000;

const LIMITS = { ...harness.createDeclarations(1).limits, bodyBytes: 1_000_000 };
const DECLARED = harness.createDeclarations(1, { limits: LIMITS });

/** A body of which every line is part of a request. */
function createHiddenRequests(bytes: number): string {
  const hidden = `DELETE /bookings/hidden HTTP/1.1\r\nHost: desk.example\r\n` +
    `${PROFILE.requestId}: hidden\r\n${PROFILE.workspace}: other\r\nContent-Length: 0\r\n\r\n`;
  return hidden.repeat(Math.ceil(bytes / hidden.length));
}

test.describe("long bodies", { concurrency: 4 }, () => {
  for (const method of ["DELETE", "GET", "OPTIONS", "PATCH", "POST", "PROPFIND"]) {
    test.test(`no byte of a long body in chunks is read as a request, with ${method}`, async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        const bodies: string[] = [];
        target.behaviour = (request, response, body) => {
          bodies.push(body);
          harness.answerSuccess(request, response);
        };
        const body = createHiddenRequests(LONG_BYTES);
        for (const path of ["/bookings/1", "/reads/1"]) {
          const headers = { "Transfer-Encoding": "chunked", "Expect": "100-continue" };
          const answer = await vm.call({ method, path, body, headers });
          assert.equal(answer.status, 200);
        }
        assert.deepEqual(bodies.map(({ length }) => length), [body.length, body.length]);
        assert.ok(bodies.every((received) => received === body));
        assert.equal(target.requests[0]?.headers["transfer-encoding"], "chunked");
        assert.equal(target.requests[0].headers["content-length"], undefined);
      }, DECLARED);
    });
  }

  test.test("no byte of a long body is read as a request, with a length or trailers", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      const bodies: string[] = [];
      target.behaviour = (request, response, body) => {
        bodies.push(body);
        harness.answerSuccess(request, response);
      };
      const body = createHiddenRequests(LONG_BYTES);
      const headers = { "Content-Length": body.length };
      assert.equal((await vm.call({ method: "DELETE", body, headers })).status, 200);
      await sendWithTrailers(vm, body);
      assert.deepEqual(bodies.map(({ length }) => length), [body.length, body.length]);
    }, DECLARED);
  });
});

function sendWithTrailers(vm: harness.TestVm, body: string): Promise<void> {
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      agent: false,
      host: vm.host,
      port: vm.port,
      method: "DELETE",
      path: "/bookings/1",
      headers: {
        "Host": "desk.example",
        "Authorization": "Bearer secret",
        [PROFILE.requestId]: "trailers",
        [PROFILE.deadline]: "3000",
        "Transfer-Encoding": "chunked",
        "Trailer": "X-Sum",
      },
    });
    outgoing.once("error", reject);
    outgoing.once("response", (incoming) => {
      assert.equal(incoming.statusCode, 200);
      incoming.resume().once("end", resolve);
    });
    outgoing.addTrailers({ "X-Sum": "1" });
    outgoing.end(body);
  });
}
