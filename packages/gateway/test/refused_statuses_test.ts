/**
 * Guards against a response with a status that no response has, which reaches the gateway's caller:
 * instead of a second attempt, or in response to an upload that its target has not read.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as harness from "./harness.ts";

const STATUSES = ["000", "042", "099"];

/** More than the buffers of the connections between caller and target take up. */
const UPLOAD = "u".repeat(8_000_000);

const HEAD = `Host: a\r\nAuthorization: Bearer ${harness.KEY}\r\n`;

const RESPONSES: Readonly<Record<string, string>> = {
  "a length": "Content-Length: 4\r\n\r\ndone",
  "no body": "Content-Length: 0\r\n\r\n",
  "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
  "a long body": `Content-Length: 200000\r\n\r\n${"x".repeat(200_000)}`,
};

const UPLOADS: Readonly<Record<string, string>> = {
  "without a body": `POST /fines/7 HTTP/1.1\r\n${HEAD}\r\n`,
  "with a short body": `POST /fines/7 HTTP/1.1\r\n${HEAD}Content-Length: 4\r\n\r\nbody`,
  "with a long body": `POST /fines/7 HTTP/1.1\r\n${HEAD}Content-Length: ${UPLOAD.length}\r\n\r\n` +
    UPLOAD,
  "with a long body in chunks":
    `POST /fines/7 HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n` +
    `${UPLOAD.length.toString(16)}\r\n${UPLOAD}\r\n0\r\n\r\n`,
};

test.describe("a status that no response has", { concurrency: 4 }, () => {
  for (const status of STATUSES) {
    for (const [form, response] of Object.entries(RESPONSES)) {
      for (const [what, request] of Object.entries(UPLOADS)) {
        test.test(`${status} with ${form} answers a request ${what}`, async (context) => {
          const target = await harness.startRawTarget((socket) => {
            socket.once("data", () => socket.write(`HTTP/1.1 ${status} Status\r\n${response}`));
          });
          const vm = await harness.startVm({ targets: [target.address] });
          context.after(async () => {
            await vm.services.stop();
            await target.stop();
          });
          const { text } = await harness.sendRaw(
            vm.port,
            [request],
            (received) => received.includes("answer_malformed"),
          );
          assert.match(text, /^HTTP\/1\.1 502 /);
          assert.equal(text.match(/^HTTP\/1\.1 /gm)?.length, 1);
        });
      }
    }

    test.test(`${status} of the first target ends a request that may be repeated`, async (context) => {
      const refusing = await harness.startRawTarget((socket) => {
        socket.on(
          "data",
          () => socket.write(`HTTP/1.1 ${status} Status\r\nContent-Length: 4\r\n\r\nnone`),
        );
      });
      const serving = await harness.startTarget((_request, response) => void response.end("done"));
      const vm = await harness.startVm({ targets: [refusing.address, serving.address] });
      context.after(async () => {
        await vm.services.stop();
        await refusing.stop();
        await serving.stop();
      });
      // Targets take turns, so that one of two requests is sent to the first one.
      for (let request = 0; request < 2; request++) {
        const answer = await harness.call(vm.port);
        assert.deepEqual([answer.status, answer.body], [200, "done"]);
      }
    });
  }
});
