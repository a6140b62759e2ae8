/**
 * Guards against heads with so many fields that the runtime drops some of them: a request that runs
 * without its body or with other fields, and a response that is changed.
 */

import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

/** Most fields of a head that the runtime hands over. */
const RUNTIME_FIELDS = 1_000;

const BODY = "0123456789";

const DECLARED = harness.createDeclarations(1, {
  limits: { ...harness.createDeclarations(1).limits, headerBytes: 16_000 },
});

function createFields(count: number): string[] {
  return Array.from({ length: count }, () => "A: b");
}

/** Encodes a request whose length is stated in the last of its fields. */
function encodeWithFields(id: string, count: number): string {
  // The request line is followed by four fields of the test itself.
  const headers = [...createFields(count - 5), `Content-Length: ${BODY.length}`];
  return raw.encodeRequest({ id, headers }) + BODY;
}

test.describe("heads with many fields", { concurrency: 4 }, () => {
  for (const count of [RUNTIME_FIELDS, RUNTIME_FIELDS + 1, 1_100, 3_000]) {
    test.test(`a request with ${count} of them is changed`, async () => {
      await harness.withVm(1, async (vm) => {
        const bodies: string[] = [];
        vm.targets.forEach((target) =>
          target.behaviour = (request, response, body) => {
            bodies.push(body);
            harness.answerSuccess(request, response);
          }
        );
        const caller = new raw.RawCaller(vm);
        caller.send(encodeWithFields("many", count));
        caller.send(raw.encodeRequest({ id: "next", body: BODY }));
        const answers = await caller.readAnswers(2);
        assert.deepEqual(answers.map(({ status }) => status), [431, 200]);
        assert.deepEqual(bodies, [BODY]);
        caller.close();
      }, DECLARED);
    });
  }

  test.test("a request whose target gets just as many as the runtime hands over is refused", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      const bodies: string[] = [];
      target.behaviour = (request, response, body) => {
        bodies.push(body);
        harness.answerSuccess(request, response);
      };
      const caller = new raw.RawCaller(vm);
      caller.send(encodeWithFields("many", 990));
      const [answer] = await caller.readAnswers(1);
      assert.equal(answer?.status, 200);
      assert.deepEqual(bodies, [BODY]);
      const fields = target.requests[0]?.rawHeaders.length ?? 0;
      assert.ok(fields <= 2 * RUNTIME_FIELDS, `${fields / 2} fields`);
      caller.close();
    }, DECLARED);
  });

  test.test("a request that another VM passes on is changed", async () => {
    await harness.withVm(1, async (vm) => {
      const [host, port] = vm.peerAddress.split(":");
      const socket = net.connect({ host: host ?? "", port: Number(port) });
      let received = "";
      socket.on("data", (chunk) => received += chunk.toString("latin1"));
      const headers = [
        "hemlockwalk-forwarded: decisions",
        ...createFields(1_100),
        `Content-Length: ${BODY.length}`,
      ];
      socket.write(raw.encodeRequest({ id: "forwarded", headers }) + BODY);
      await harness.waitFor(() => received.includes("\r\n\r\n"), "the VM responds");
      assert.match(received, /^HTTP\/1.1 431 /);
      assert.equal(vm.countRequests(), 0);
      socket.destroy();
    }, DECLARED);
  });

  for (const [count, status] of [[900, 200], [RUNTIME_FIELDS + 1, 502], [1_100, 502]] as const) {
    test.test(`a response with ${count} of them is changed`, async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        target.behaviour = (request) => {
          const id = String(request.headers[harness.PROFILE.requestId]);
          const fields = [
            `${harness.PROFILE.requestId}: ${id}`,
            `${harness.PROFILE.signature}: signed`,
            ...createFields(count - 3),
            "Content-Length: 4",
          ];
          request.socket.write(`HTTP/1.1 200 OK\r\n${fields.join("\r\n")}\r\n\r\ndone`);
        };
        const answer = await vm.call();
        assert.equal(answer.status, status);
        assert.ok(status !== 200 || answer.body === "done");
        if (status === 200) {
          assert.equal(String(answer.headers["a"]).split(",").length, count - 3);
        }
      });
    });
  }
});
