/**
 * Guards against heads and trailers that no message has: a field whose name holds a blank or a
 * control byte, or that has no name. Their parsers differ in what they accept, so most of the tests
 * let the runtime hand over such names whatever its parser does.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as benches from "./call_bench.ts";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const { PROFILE } = harness;

/** Fields that the runtime hands over under another name than the one that was sent. */
const RENAMED: Readonly<Record<string, string>> = {
  "Sent-Blank": "X Part",
  "Sent-Length": "Content Length",
  "Sent-Nothing": "",
  "Sent-Nul": "X-\0",
  "Sent-Control": "X-\x01",
  "Sent-Tab": "X-\tPart",
  "Sent-Return": "X-\r",
  "Sent-Delete": "X-\x7f",
  "Sent-End": "Content-Length ",
};

/** Names as they are sent; what becomes of them depends on the parser of the runtime. */
const SENT = [
  "X Part",
  "Content Length",
  "",
  "X-\0",
  "X-\x01",
  "X-\tPart",
  "X-\r",
  "X-\x7f",
  "Content-Length ",
  "Transfer-Encoding ",
];

const LONG_BODIES = harness.createDeclarations(1, {
  limits: { ...harness.createDeclarations(1).limits, bodyBytes: 1_000_000 },
});

/** Responds with a further field and a body of four bytes. */
function respondWith(request: http.IncomingMessage, field: string, length = 4): void {
  const id = String(request.headers[PROFILE.requestId]);
  const lengths = length < 0 ? [] : [`Content-Length: ${length}`];
  const head = [
    "HTTP/1.1 200 OK",
    `${PROFILE.requestId}: ${id}`,
    `${PROFILE.signature}: signed`,
    ...lengths,
    field,
  ];
  request.socket.end(`${head.join("\r\n")}\r\n\r\ndone`, "latin1");
}

test.describe("responses whose heads have no proper names", { concurrency: 4 }, () => {
  let restore: () => void;
  test.before(() => restore = kernelTesting.renameFields(RENAMED));
  test.after(() => restore());

  for (const name of [...Object.keys(RENAMED), ...SENT]) {
    const shown = JSON.stringify(RENAMED[name] ?? name);
    const how = name in RENAMED ? "handed over" : "sent";
    test.test(`the caller gets one with ${shown} ${how}, or another failure`, async () => {
      await harness.withVm(2, async (vm) => {
        vm.targets.forEach((target) =>
          target.behaviour = (request) => respondWith(request, `${name}: 3`)
        );
        for (const [method, path] of [["POST", "/bookings/1"], ["GET", "/reads/1"]] as const) {
          const answer = await vm.call({ method, path });
          assert.equal(answer.status, 502, path);
          assert.equal((JSON.parse(answer.body) as { title: string }).title, "target_failed");
        }
        const errors = vm.log.filter(({ code }) =>
          code === kernel.LogMessages.unexpectedRequestError.code
        );
        assert.deepEqual(errors, []);
      });
    });
  }

  test.test("the caller gets one without a length", async () => {
    await harness.withVm(1, async (vm) => {
      vm.targets.forEach((target) =>
        target.behaviour = (request) => respondWith(request, "Sent-Length: 4", -1)
      );
      assert.equal((await vm.call()).status, 502);
    });
  });

  test.test("a request that may be repeated is not sent to another target", async () => {
    await harness.withVm(2, async (vm) => {
      let calls = 0;
      vm.targets.forEach((target) =>
        target.behaviour = (request, response) =>
          calls++ === 0
            ? respondWith(request, "Sent-Blank: 1")
            : harness.answerSuccess(request, response)
      );
      const answer = await vm.call({ method: "GET", path: "/reads/1" });
      assert.deepEqual([answer.status, answer.body, calls], [200, "done", 2]);
    });
  });

  for (const destination of ["target", "peer"] as const) {
    for (const [status, bytes] of [[200, 0], [421, 0], [503, 0], [200, 400_000]] as const) {
      test.test(`a call to a ${destination} accepts one with ${status} and ${bytes} bytes`, async () => {
        await benches.withBench(async (bench) => {
          const { address } = bench.target;
          if (destination === "peer") {
            bench.changes = { destination: { kind: "peer", address, decisions: "decisions" } };
          }
          bench.target.onData = ({ socket }) => {
            const fields = { "Sent-Blank": "1", "Content-Length": String(bytes) };
            socket.write(benches.createHead(status, fields) + "x".repeat(bytes));
          };
          assert.deepEqual(await bench.run("GET"), { kind: "failed", reason: "spoilt" });
        });
      });
    }
  }
});

test.describe("trailers that have no proper names", { concurrency: 4 }, () => {
  let restore: () => void;
  test.before(() => restore = kernelTesting.renameFields(RENAMED));
  test.after(() => restore());

  for (const name of ["Sent-Blank", "Sent-Nothing", "Sent-Control", "X Part", "X-\x01"]) {
    const shown = JSON.stringify(RENAMED[name] ?? name);
    test.test(`a short response with ${shown} in them counts as whole`, async () => {
      await benches.withBench(async (bench) => {
        bench.target.onData = ({ socket }) => {
          const head = benches.createHead(200, { "Transfer-Encoding": "chunked" });
          socket.write(`${head}4\r\ndone\r\n0\r\n${name}: 1\r\n\r\n`, "latin1");
        };
        assert.deepEqual(await bench.run("GET"), { kind: "failed", reason: "spoilt" });
      });
    });

    test.test(`a long response with ${shown} in them counts as whole`, async () => {
      await harness.withVm(1, async (vm) => {
        vm.targets.forEach((target) =>
          target.behaviour = (request) => {
            const id = String(request.headers[PROFILE.requestId]);
            const body = "x".repeat(benches.LONG_BYTES);
            request.socket.write(
              `HTTP/1.1 200 OK\r\n${PROFILE.requestId}: ${id}\r\n${PROFILE.signature}: signed\r\n` +
                `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n`,
            );
            setTimeout(() => request.socket.write(`0\r\n${name}: 1\r\n\r\n`, "latin1"), 50);
          }
        );
        const answer = await vm.call({ method: "GET", path: "/reads/1" });
        assert.equal(answer.isComplete, false);
      });
    });
  }

  test.test("a response with a proper name in them is refused", async () => {
    await benches.withBench(async (bench) => {
      bench.target.onData = ({ socket }) => {
        const head = benches.createHead(200, { "Transfer-Encoding": "chunked" });
        socket.write(`${head}4\r\ndone\r\n0\r\nX-Part: 1\r\n\r\n`);
      };
      assert.equal((await bench.run("GET")).kind, "answered");
    });
  });
});

test.describe("requests that have no proper names", { concurrency: 4 }, () => {
  let restore: () => void;
  test.before(() => restore = kernelTesting.renameFields(RENAMED));
  test.after(() => restore());

  for (const name of [...Object.keys(RENAMED), ...SENT]) {
    const shown = JSON.stringify(RENAMED[name] ?? name);
    const how = name in RENAMED ? "handed over" : "sent";
    test.test(`one with ${shown} ${how} in its head reaches a target, or what is behind it does`, async () => {
      await harness.withVm(1, async (vm) => {
        const caller = new raw.RawCaller(vm);
        const hidden = raw.encodeRequest({ id: "hidden" });
        caller.send(raw.encodeRequest({ id: "first" }));
        caller.send(
          raw.encodeRequest({ id: "malformed", headers: [`${name}: ${hidden.length}`] }) + hidden,
        );
        const answers = await caller.readAnswers(3);
        assert.deepEqual(answers.map(({ status }) => status), [200, 400]);
        assert.equal(answers[1]?.endsConnection, true);
        assert.equal(vm.countRequests(), 1);
        caller.close();
      });
    });
  }

  test.test("one that may run ahead reaches a target", async () => {
    await harness.withVm(1, async (vm) => {
      const caller = new raw.RawCaller(vm);
      const read = { method: "GET", path: "/reads/1" };
      caller.send(
        raw.encodeRequest({ id: "first", ...read }) +
          raw.encodeRequest({ id: "malformed", ...read, headers: ["Sent-Blank: 1"] }) +
          raw.encodeRequest({ id: "behind", ...read }),
      );
      const answers = await caller.readAnswers(3);
      assert.deepEqual(answers.map(({ status }) => status), [200, 400]);
      assert.equal(vm.countRequests(), 1);
      caller.close();
    });
  });

  for (const bytes of [4, benches.LONG_BYTES]) {
    for (const name of ["Sent-Blank", "Sent-Nothing", "X Part", "X-\x01"]) {
      const shown = JSON.stringify(RENAMED[name] ?? name);
      test.test(`one of ${bytes} bytes with ${shown} in its trailers runs as a whole`, async () => {
        await harness.withVm(1, async (vm) => {
          const caller = new raw.RawCaller(vm);
          const whole = raw.encodeRequest({
            id: "malformed",
            body: "x".repeat(bytes),
            isChunked: true,
          });
          caller.send(`${whole.slice(0, -2)}${name}: 1\r\n\r\n`);
          const [answer] = await caller.readAnswers(1);
          assert.equal(answer?.status, 400);
          // The target records a request once it has read it to its end.
          await kernel.sleep(100);
          assert.equal(vm.countRequests(), 0);
          caller.close();
        }, LONG_BODIES);
      });
    }
  }

  test.test("one that another VM passes on is accepted", async () => {
    await harness.withVm(1, async (vm) => {
      const [host = "", port] = vm.peerAddress.split(":");
      const socket = net.connect({ host, port: Number(port) });
      let received = "";
      socket.on("data", (chunk) => received += chunk.toString("latin1"));
      const headers = ["hemlockwalk-forwarded: decisions", "Sent-Blank: 1"];
      socket.write(raw.encodeRequest({ id: "forwarded", headers }));
      await harness.waitFor(() => received.includes("\r\n\r\n"), "the VM responds");
      assert.match(received, /^HTTP\/1.1 400 /);
      assert.match(received, /\r\nConnection: close\r\n/);
      socket.destroy();
    });
  });
});
