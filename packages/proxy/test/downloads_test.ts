/**
 * Tests of long responses of routes whose requests may run more than once: they are streamed at the
 * speed of their caller, never look complete when they are cut off, and are not requested again once
 * their beginning was delivered.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as stream from "node:stream";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

/** Largest responses of the users' downloads. */
const DOWNLOAD_BYTES = 540_000;

/** Far more than the buffers of the two connections of a response take up. */
const ENDLESS_BYTES = 96_000_000;

/**
 * Most bytes of a response that its target may have sent while its caller reads nothing. The buffers
 * of the system take up to 6 MB at each end of the two connections.
 */
const MAX_BYTES_AHEAD = 32_000_000;

const CHUNK = Buffer.alloc(65_536, "x");

const DOWNLOADS = harness.createDeclarations(1, {
  routes: [harness.createRoute({
    id: model.createRouteId("exports"),
    pathPrefix: "/exports/",
    isIdempotent: true,
    timeoutMilliseconds: 15_000,
    attempts: 2,
  })],
});

/** The body of a download, which counts what its target has sent. */
class CountedBody extends stream.Readable {
  sentBytes = 0;
  readonly #bytes: number;

  constructor(bytes: number) {
    super({ highWaterMark: CHUNK.length });
    this.#bytes = bytes;
  }

  override _read(): void {
    const left = this.#bytes - this.sentBytes;
    const chunk = CHUNK.subarray(0, Math.min(left, CHUNK.length));
    this.sentBytes += chunk.length;
    this.push(chunk.length === 0 ? null : chunk);
  }
}

/** Sends a request and returns the response before any of its body is read. */
function beginDownload(vm: harness.TestVm): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      agent: false,
      host: vm.host,
      port: vm.port,
      path: "/exports/1",
      headers: {
        Host: "desk.example",
        Authorization: "Bearer secret",
        [harness.PROFILE.requestId]: "download",
        [harness.PROFILE.deadline]: "15000",
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", resolve);
    outgoing.end();
  });
}

/** Reads the rest of a response; returns its bytes and whether it ended in order. */
async function readRest(incoming: http.IncomingMessage): Promise<[number, boolean]> {
  let bytes = 0;
  incoming.on("data", (chunk: Buffer) => bytes += chunk.length);
  incoming.on("error", () => undefined);
  await new Promise((resolve) => incoming.once("close", resolve));
  return [bytes, incoming.complete];
}

test.describe("downloads", { concurrency: 4 }, () => {
  for (const framing of ["a length", "chunks"]) {
    test.test(`a VM reads a response with ${framing} faster than its caller`, async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        const body = new CountedBody(ENDLESS_BYTES);
        target.behaviour = (request, response) => {
          const length = framing === "a length" ? { "Content-Length": ENDLESS_BYTES } : {};
          response.writeHead(200, { ...harness.createAnswerHeaders(request), ...length });
          body.pipe(response);
        };
        const incoming = await beginDownload(vm);
        await kernel.sleep(1_500);
        const ahead = body.sentBytes;
        assert.ok(ahead < MAX_BYTES_AHEAD, `${ahead} bytes sent to a caller that reads none`);
        await kernel.sleep(300);
        assert.equal(body.sentBytes, ahead, "the target waits for the caller");
        assert.deepEqual(await readRest(incoming), [ENDLESS_BYTES, true]);
        assert.equal(vm.countRequests(), 1);
      }, DOWNLOADS);
    });
  }

  test.test("a download that its caller reads slowly is cut off or changed", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      const sent = Buffer.from(
        Uint8Array.from(
          { length: DOWNLOAD_BYTES },
          (_, index) => (index * 31 + (index >> 8)) % 251,
        ),
      );
      target.behaviour = (request, response) => {
        response.writeHead(200, harness.createAnswerHeaders(request)).end(sent);
      };
      const incoming = await beginDownload(vm);
      const chunks: Buffer[] = [];
      for await (const chunk of incoming) {
        chunks.push(chunk as Buffer);
        await kernel.sleep(20);
      }
      assert.ok(Buffer.concat(chunks).equals(sent));
      assert.equal(incoming.complete, true);
    }, DOWNLOADS);
  });

  for (const framing of ["a length", "chunks"]) {
    for (const ending of ["resets its connection", "ends its connection"]) {
      test.test(`a response with ${framing} looks complete, or is requested again, when its target ${ending}`, async () => {
        await harness.withVm(2, async (vm) => {
          for (const target of vm.targets) {
            target.behaviour = (request, response) => {
              const length = framing === "a length" ? { "Content-Length": DOWNLOAD_BYTES } : {};
              response.writeHead(200, { ...harness.createAnswerHeaders(request), ...length });
              response.write("x".repeat(400_000));
              setTimeout(
                () =>
                  ending === "ends its connection"
                    ? request.socket.end()
                    : request.socket.resetAndDestroy(),
                150,
              );
            };
          }
          const incoming = await beginDownload(vm);
          assert.equal(incoming.statusCode, 200);
          // A caller that has not read anything yet has been delivered its beginning all the same.
          await kernel.sleep(300);
          const [bytes, isComplete] = await readRest(incoming);
          assert.equal(isComplete, false);
          assert.ok(bytes < DOWNLOAD_BYTES);
          assert.equal(vm.countRequests(), 1);
        }, DOWNLOADS);
      });
    }
  }

  test.test("a download that is cut off before any of it was delivered fails", async () => {
    await harness.withVm(2, async (vm) => {
      let calls = 0;
      for (const target of vm.targets) {
        target.behaviour = (request, response) => {
          response.writeHead(200, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": DOWNLOAD_BYTES,
          });
          if (calls++ === 0) {
            response.write("x".repeat(100_000));
            setTimeout(() => request.socket.resetAndDestroy(), 50);
          } else {
            response.end("y".repeat(DOWNLOAD_BYTES));
          }
        };
      }
      const answer = await vm.call({ method: "GET", path: "/exports/1" });
      assert.deepEqual(
        [answer.status, answer.isComplete, answer.body.length, answer.body.includes("x")],
        [200, true, DOWNLOAD_BYTES, false],
      );
      assert.equal(vm.countRequests(), 2);
    }, DOWNLOADS);
  });

  test.test("a target goes on sending a download whose caller has left", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      let isClosed = false;
      target.behaviour = (request, response) => {
        request.socket.once("close", () => isClosed = true);
        response.writeHead(200, harness.createAnswerHeaders(request));
        new CountedBody(ENDLESS_BYTES).pipe(response);
      };
      const incoming = await beginDownload(vm);
      incoming.on("error", () => undefined);
      await kernel.sleep(200);
      incoming.destroy();
      await harness.waitFor(() => isClosed, "the connection of the target is closed", 1_500);
    }, DOWNLOADS);
  });
});
