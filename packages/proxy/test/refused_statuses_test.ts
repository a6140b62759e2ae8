/**
 * Guards against a response with a status that no response has, which reaches a caller or takes
 * another attempt's response with it: behind a failed attempt, beside a running one, over another VM,
 * and to uploads that their target has not read.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import type * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";
import * as raw from "./raw_caller.ts";

const { PROFILE } = harness;

const STATUSES = ["000", "042", "099"];

/** Longer than what is buffered of a request or of a response. */
const LONG_BYTES = 400_000;

const LONG_BODY = "x".repeat(LONG_BYTES);

/** More than the buffers of the connections between caller and target take up. */
const UPLOAD = "u".repeat(8_000_000);

const USUAL_MILLISECONDS = 40;

/** Last number of the first VM's address; ports are claimed on one below. */
const FIRST_HOST = 3;

const LIMITS = { ...harness.createDeclarations(1).limits, bodyBytes: 40_000_000 };

const DECLARED = harness.createDeclarations(1, {
  limits: LIMITS,
  routes: [
    harness.createRoute({ timeoutMilliseconds: 5_000 }),
    harness.createRoute({
      id: model.createRouteId("reads"),
      pathPrefix: "/reads/",
      isIdempotent: true,
      mayRunAhead: true,
      objectiveMilliseconds: 400,
      timeoutMilliseconds: 5_000,
    }),
  ],
});

function createHead(request: http.IncomingMessage, status: string, framing: string): string {
  const id = String(request.headers[PROFILE.requestId]);
  return `HTTP/1.1 ${status} Status\r\n${PROFILE.requestId}: ${id}\r\n` +
    `${PROFILE.signature}: signed\r\n${framing}\r\n`;
}

/** How a target delimits the response: writes it behind its head. */
const FORMS: Readonly<
  Record<string, (request: http.IncomingMessage, socket: net.Socket, status: string) => void>
> = {
  "a length": (request, socket, status) =>
    void socket.write(`${createHead(request, status, "Content-Length: 4\r\n")}done`),
  "no body": (request, socket, status) =>
    void socket.write(createHead(request, status, "Content-Length: 0\r\n")),
  "chunks": (request, socket, status) =>
    void socket.write(
      `${createHead(request, status, "Transfer-Encoding: chunked\r\n")}4\r\ndone\r\n0\r\n\r\n`,
    ),
  "the end of the connection": (request, socket, status) =>
    void socket.end(`${createHead(request, status, "Connection: close\r\n")}done`),
  "a long body": (request, socket, status) =>
    void socket.write(
      `${createHead(request, status, `Content-Length: ${LONG_BYTES}\r\n`)}${LONG_BODY}`,
    ),
  "a long body in chunks": (request, socket, status) =>
    void socket.write(
      `${createHead(request, status, "Transfer-Encoding: chunked\r\n")}` +
        `${LONG_BYTES.toString(16)}\r\n${LONG_BODY}\r\n0\r\n\r\n`,
    ),
};

function respondWith(request: http.IncomingMessage, status: string, form = "a length"): void {
  const respond = FORMS[form] ?? assert.fail(form);
  respond(request, request.socket, status);
}

function assertRefused(answer: harness.CallerAnswer | undefined): void {
  assert.equal(answer?.status, 502);
  assert.equal((JSON.parse(answer.body) as { title: string }).title, "target_failed");
}

/** Sends requests over one connection and returns the versions and statuses of the responses. */
async function listStatusLines(
  vm: harness.TestVm,
  requests: readonly raw.RawRequest[],
): Promise<string[]> {
  const caller = new raw.RawCaller(vm);
  try {
    caller.send(requests.map((request) => raw.encodeRequest(request)).join(""));
    await caller.readAnswers(requests.length);
    return caller.received.match(/HTTP\/1\.1 \d{3}/g) ?? [];
  } finally {
    caller.close();
  }
}

test.describe("a status that no response has", { concurrency: 4 }, () => {
  for (const status of STATUSES) {
    for (const form of Object.keys(FORMS)) {
      test.test(`${status} with ${form} is passed on, byte for byte`, async () => {
        await harness.withVm(2, async (vm) => {
          vm.targets.forEach((target) =>
            target.behaviour = (request) => respondWith(request, status, form)
          );
          for (const [method, path] of [["POST", "/bookings/1"], ["GET", "/reads/1"]] as const) {
            const lines = await listStatusLines(vm, [{ id: `${method}-${status}`, method, path }]);
            assert.deepEqual(lines, ["HTTP/1.1 502"]);
          }
          assert.equal(vm.countRequests(), 3, "the idempotent one is sent to both targets");
        }, DECLARED);
      });
    }

    test.test(`${status} to HEAD is passed on`, async () => {
      await harness.withVm(1, async (vm) => {
        vm.targets.forEach((target) =>
          target.behaviour = (request) => respondWith(request, status, "no body")
        );
        assert.equal((await vm.call({ method: "HEAD", path: "/reads/1" })).status, 502);
      }, DECLARED);
    });

    test.test(`${status} of the first target ends a request that may be repeated`, async () => {
      await harness.withVm(2, async (vm) => {
        let calls = 0;
        vm.targets.forEach((target) =>
          target.behaviour = (request, response) =>
            calls++ === 0 ? respondWith(request, status) : harness.answerSuccess(request, response)
        );
        const answer = await vm.call({ method: "GET", path: "/reads/1" });
        assert.deepEqual([answer.status, answer.body, calls], [200, "done", 2]);
      }, DECLARED);
    });

    for (const early of ["first", "second"] as const) {
      test.test(`${status} of the ${early} of two attempts ends the other one`, async () => {
        const hedging = { maxExtraShare: 0.2, services: new Map<string, number>() };
        const vm = new harness.TestVm(undefined, hedging);
        try {
          await vm.start(2, DECLARED);
          vm.targets.forEach((target) =>
            target.behaviour = (request, response) =>
              void setTimeout(() => harness.answerSuccess(request, response), USUAL_MILLISECONDS)
          );
          for (let request = 0; request < 24; request++) {
            assert.equal((await vm.call({ method: "GET", path: "/reads/1" })).status, 200);
          }
          const arrived: [http.IncomingMessage, http.ServerResponse][] = [];
          vm.targets.forEach((target) =>
            target.behaviour = (request, response) => {
              arrived.push([request, response]);
              if (arrived.length < 2) {
                return;
              }
              const [refused, other] = early === "first" ? arrived : [...arrived].reverse();
              if (refused !== undefined && other !== undefined) {
                respondWith(refused[0], status);
                setTimeout(() => harness.answerSuccess(...other), 10);
              }
            }
          );
          const answer = await vm.call({ method: "GET", path: "/reads/1" });
          assert.deepEqual([answer.status, answer.body, arrived.length], [200, "done", 2]);
        } finally {
          await vm.stop();
        }
      });
    }

    test.test(`${status} takes the responses behind it on a connection with it`, async () => {
      await harness.withVm(3, async (vm) => {
        assert.equal((await vm.call({ method: "GET", path: "/reads/0" })).status, 200);
        vm.targets.forEach((target) =>
          target.behaviour = (request, response) =>
            request.url === "/reads/b"
              ? respondWith(request, status)
              : harness.answerSuccess(request, response)
        );
        const requests = ["a", "b", "c", "d"].map((id) => ({
          id,
          method: "GET",
          path: `/reads/${id}`,
        }));
        assert.deepEqual(
          await listStatusLines(vm, requests),
          ["HTTP/1.1 200", "HTTP/1.1 502", "HTTP/1.1 200", "HTTP/1.1 200"],
        );
      }, DECLARED);
    });

    for (const isChunked of [false, true]) {
      const framing = isChunked ? "in chunks" : "with a length";
      for (const form of Object.keys(FORMS)) {
        test.test(`${status} with ${form} answers an upload ${framing} that its target has not read`, async () => {
          await harness.withVm(1, async (vm) => {
            vm.targets.forEach((target) =>
              target.earlyBehaviour = (request) => respondWith(request, status, form)
            );
            for (const [method, path] of [["POST", "/bookings/1"], ["PUT", "/reads/1"]] as const) {
              const id = `${method}-${status}`;
              const request = { id, method, path, body: UPLOAD, isChunked };
              assert.deepEqual(await listStatusLines(vm, [request]), ["HTTP/1.1 502"]);
            }
          }, DECLARED);
        });
      }

      test.test(`${status} answers a short upload ${framing} that its target has not read`, async () => {
        await harness.withVm(1, async (vm) => {
          vm.targets.forEach((target) =>
            target.earlyBehaviour = (request) => respondWith(request, status)
          );
          const request = { id: "upload", body: "some body", isChunked };
          assert.deepEqual(await listStatusLines(vm, [request]), ["HTTP/1.1 502"]);
        }, DECLARED);
      });
    }
  }

  test.test("an early one behind 100 Continue is passed on", async () => {
    await harness.withVm(1, async (vm) => {
      vm.targets.forEach((target) =>
        target.earlyBehaviour = (request) => {
          request.socket.write("HTTP/1.1 100 Continue\r\n\r\n");
          respondWith(request, "000");
        }
      );
      assertRefused(await vm.call({ body: UPLOAD }));
    }, DECLARED);
  });
});

// The mock of a partition replaces a method of all sockets, so these run one after another.
test.describe("a status that no response has, over another VM,", () => {
  for (const status of STATUSES) {
    test.test(`${status} of a target is passed on`, async () => {
      const store = new harness.MemoryStore();
      const vms: harness.TestVm[] = [];
      let endPartition: () => void = () => undefined;
      try {
        for (const [index, name] of ["vm-server", "vm-cut"].entries()) {
          const seeds = vms.map(({ peerAddress }) => peerAddress);
          const host = `127.0.0.${FIRST_HOST + index}`;
          const vm = new harness.TestVm({ name, store, seeds, host });
          vms.push(vm);
          await vm.start(index === 0 ? 3 : 0, DECLARED);
        }
        const [server, cut] = vms;
        assert.ok(server !== undefined && cut !== undefined);
        // Both VMs know each other.
        await kernel.sleep(500);
        endPartition = partitions.startPartition([cut.host], server.targets, "resets");
        await testing.waitFor(
          async () => {
            await Promise.all([1, 2, 3].map(() => cut.call()));
            return cut.log.some(({ code }) => code === kernel.LogMessages.pathLost.code);
          },
          "the path is lost",
          5_000,
        );
        assert.equal((await cut.call()).status, 200);
        for (const form of Object.keys(FORMS)) {
          server.targets.forEach((target) =>
            target.behaviour = (request) => respondWith(request, status, form)
          );
          const before = server.countRequests();
          for (const [method, path] of [["POST", "/bookings/1"], ["GET", "/reads/1"]] as const) {
            const id = `${method}-${form}`;
            assert.deepEqual(
              await listStatusLines(cut, [{ id, method, path }]),
              ["HTTP/1.1 502"],
              form,
            );
          }
          assert.ok(server.countRequests() > before, "the requests reach a target");
        }
      } finally {
        endPartition();
        await Promise.all(vms.map((vm) => vm.stop()));
      }
    });
  }
});
