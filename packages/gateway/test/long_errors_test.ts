/**
 * Error responses of targets that are too long to be kept while a retry runs. Their rest stays with
 * the target, and they reach the caller if nothing better comes.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

const TIMEOUT_MILLISECONDS = 4_000;

/** Longer than what is kept, and different at each place. */
const LONG = Array.from({ length: 30_000 }, (_, index) => String(index).padStart(10, ".")).join("");

/** More than the buffers of two connections on loopback hold. */
const HUGE_BYTES = 64 * 1_024 * 1_024;

const REQUEST_TEXT = `Host: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`;

/** An attempt that arrived at a target. */
interface Arrival {
  readonly response: http.ServerResponse;
  readonly socket: net.Socket;
}

interface Fixture {
  readonly vm: harness.TestVm;
  /** The attempts at each target, in order of arrival. */
  readonly arrivals: readonly Arrival[][];
}

/** Starts a VM with targets; a target without a handler responds when the test says so. */
async function startFixture(
  context: test.TestContext,
  handlers: readonly ((response: http.ServerResponse) => void)[],
  service: harness.Declaration["service"] = {},
): Promise<Fixture> {
  const arrivals: Arrival[][] = handlers.map(() => []);
  const servers = await Promise.all(
    handlers.map((handler, index) =>
      harness.startTarget((request, response) => {
        arrivals[index]?.push({ response, socket: request.socket });
        handler(response);
      })
    ),
  );
  const vm = await harness.startVm({
    targets: servers.map(({ address }) => address),
    route: { timeoutMilliseconds: TIMEOUT_MILLISECONDS },
    service,
  });
  context.after(async () => {
    await vm.services.stop();
    await Promise.all(servers.map((server) => server.stop()));
  });
  return { vm, arrivals };
}

function getArrival(fixture: Fixture, target: number): Arrival {
  return kernel.getDefined(fixture.arrivals[target]?.[0], `Target ${target} got no request.`);
}

function waitForArrival(fixture: Fixture, target: number): Promise<void> {
  return kernelTesting.waitFor(
    () => fixture.arrivals[target]?.length === 1,
    `a request at target ${target}`,
  );
}

/** Waits until the VM has ended the connection on which a target responds. */
function waitForDrop(fixture: Fixture, target: number): Promise<void> {
  return kernelTesting.waitFor(
    () => getArrival(fixture, target).socket.destroyed,
    `the end of the connection to target ${target}`,
  );
}

function reset(response: http.ServerResponse): void {
  response.socket?.resetAndDestroy();
}

function resetArrival(fixture: Fixture, target: number): void {
  getArrival(fixture, target).socket.resetAndDestroy();
}

function wait(): void {
  // The test responds later.
}

function sendLong(response: http.ServerResponse): void {
  response.writeHead(503, { "x-part": "seven", "content-length": LONG.length }).end(LONG);
}

function sendLongInChunks(response: http.ServerResponse): void {
  response.writeHead(502, { "x-part": "seven", trailer: "x-sum" });
  response.write(LONG.slice(0, 100_000));
  response.write(LONG.slice(100_000));
  response.addTrailers({ "x-sum": "9" });
  response.end();
}

function checkLong({ status, headers, body }: harness.CallerResult, expectedStatus = 503): void {
  assert.deepEqual([status, headers["x-part"]], [expectedStatus, "seven"]);
  assert.equal(headers["hemlockwalk-run"], undefined);
  assert.ok(body === LONG, `The caller got ${body.length} bytes.`);
}

async function checkIdle(fixture: Fixture): Promise<void> {
  await harness.waitFor(async () =>
    await fixture.vm.getCount("hemlockwalk_running_requests") === 0
  );
}

test.describe("an error response that is too long to be kept", () => {
  const senders = { "with a length": sendLong, "in chunks": sendLongInChunks };
  for (const [name, send] of Object.entries(senders)) {
    const status = send === sendLong ? 503 : 502;

    test.it(`${name} is replaced by a refusal if the retry gets no slot`, async (context) => {
      const fixture = await startFixture(context, [wait, send], { slots: 1 });
      const write = harness.call(fixture.vm.port, { method: "POST" });
      await waitForArrival(fixture, 0);
      checkLong(await harness.call(fixture.vm.port), status);
      getArrival(fixture, 0).response.end("write");
      assert.equal((await write).body, "write");
    });

    test.it(`${name} is replaced by a refusal if the retry fails`, async (context) => {
      const fixture = await startFixture(context, [send, reset]);
      const answer = await harness.call(fixture.vm.port);
      checkLong(answer, status);
      assert.equal(answer.trailers["x-sum"], send === sendLong ? undefined : "9");
      const { vm } = fixture;
      assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "server_error" }), 1);
      assert.equal(await vm.getCount("hemlockwalk_cut_answers_total"), 0);
      assert.equal(
        await vm.getCount("hemlockwalk_target_calls_total", { result: "server_error" }),
        1,
      );
    });
  }

  test.it("is replaced by a refusal if the attempt beside it fails", async (context) => {
    const fixture = await startFixture(context, [wait, sendLong]);
    const answer = harness.call(fixture.vm.port);
    await waitForArrival(fixture, 1);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.05);
    resetArrival(fixture, 0);
    checkLong(await answer);
  });

  test.it("is replaced by a refusal although its connection is used again", async (context) => {
    const fixture = await startFixture(context, [sendLong, reset]);
    checkLong(await harness.call(fixture.vm.port));
    checkLong(await harness.call(fixture.vm.port));
    await checkIdle(fixture);
  });

  const callers = { "with a length": sendLong, "in chunks": sendLongInChunks };
  for (const [name, send] of Object.entries(callers)) {
    test.it(`${name} is lost to a caller of HTTP/1.0`, async (context) => {
      const shorter = (response: http.ServerResponse) => {
        if (send === sendLong) {
          sendLong(response);
        } else {
          response.writeHead(503);
          response.write(LONG.slice(0, 100_000));
          response.end(LONG.slice(100_000, 200_000));
        }
      };
      const expected = send === sendLong ? LONG : LONG.slice(0, 200_000);
      const fixture = await startFixture(context, [shorter, reset]);
      const { text } = await harness.sendRaw(fixture.vm.port, [
        `GET /fines HTTP/1.0\r\n${REQUEST_TEXT}`,
      ]);
      assert.match(text, /^HTTP\/1\.1 503 /);
      assert.match(text, new RegExp(`\\r\\ncontent-length: ${expected.length}\\r\\n`, "i"));
      assert.ok(text.endsWith(`\r\n\r\n${expected}`), `${text.length} bytes`);
    });
  }

  test.it("is passed on although the retry is answered", async (context) => {
    const fixture = await startFixture(context, [sendLong, (response) => response.end("done")]);
    const { status, body } = await harness.call(fixture.vm.port);
    assert.deepEqual([status, body], [200, "done"]);
    await waitForDrop(fixture, 0);
    const { vm } = fixture;
    // What the target responded remains evidence about it.
    assert.equal(
      await vm.getCount("hemlockwalk_target_calls_total", { result: "server_error" }),
      1,
    );
    assert.equal(await vm.getCount("hemlockwalk_target_calls_total", { result: "success" }), 1);
  });

  test.it("keeps the slot of its target after the response to the retry has begun", async (context) => {
    const fixture = await startFixture(context, [
      sendLong,
      (response) => {
        response.writeHead(200, { "content-length": 4 }).write("do");
      },
    ]);
    const answer = harness.call(fixture.vm.port);
    await waitForArrival(fixture, 1);
    await waitForDrop(fixture, 0);
    getArrival(fixture, 1).response.end("ne");
    assert.equal((await answer).body, "done");
  });

  test.it("is read into memory, or gives its target's slot away, while the retry runs", async (context) => {
    let isSent = false;
    const once = (first: (response: http.ServerResponse) => void) => {
      let requests = 0;
      return (response: http.ServerResponse) => {
        requests++;
        if (requests === 1) {
          first(response);
        } else {
          response.end("second");
        }
      };
    };
    const fixture = await startFixture(context, [
      once((response) => {
        response.writeHead(503, { "content-length": HUGE_BYTES });
        response.end(Buffer.alloc(HUGE_BYTES, "x"), () => isSent = true);
      }),
      once(wait),
    ], { slots: 1 });
    const first = harness.call(fixture.vm.port);
    await waitForArrival(fixture, 1);
    const second = harness.call(fixture.vm.port);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.1);
    assert.equal(isSent, false);
    assert.deepEqual(fixture.arrivals.map(({ length }) => length), [1, 1]);
    getArrival(fixture, 1).response.end("first");
    assert.equal((await first).body, "first");
    assert.equal((await second).body, "second");
  });

  test.it("is read faster than its caller takes it", async (context) => {
    let isSent = false;
    const fixture = await startFixture(context, [
      (response) => {
        response.writeHead(503, { "content-length": HUGE_BYTES });
        response.end(Buffer.alloc(HUGE_BYTES, "x"), () => isSent = true);
      },
      reset,
    ]);
    const caller = net.connect(fixture.vm.port, "127.0.0.1");
    context.after(() => caller.destroy());
    caller.write(`GET /fines HTTP/1.1\r\n${REQUEST_TEXT}`);
    let received = 0;
    caller.once("data", (chunk) => {
      received += chunk.length;
      caller.pause();
    });
    await harness.waitFor(() => received > 0);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.1);
    assert.equal(isSent, false);
    caller.on("data", (chunk) => received += chunk.length);
    caller.resume();
    await harness.waitFor(() => received > HUGE_BYTES);
    await checkIdle(fixture);
    assert.equal(await fixture.vm.getCount("hemlockwalk_cut_answers_total"), 0);
  });

  test.it("takes the place of a whole one", async (context) => {
    const fixture = await startFixture(context, [
      (response) => response.writeHead(503).end("busy"),
      sendLong,
      reset,
    ]);
    const { status, body } = await harness.call(fixture.vm.port);
    assert.deepEqual([status, body], [503, "busy"]);
    await waitForDrop(fixture, 1);
  });

  test.it("keeps its slot after a whole one has come", async (context) => {
    const fixture = await startFixture(context, [
      sendLong,
      (response) => response.writeHead(503).end("busy"),
      wait,
    ]);
    const answer = harness.call(fixture.vm.port);
    await waitForArrival(fixture, 2);
    await waitForDrop(fixture, 0);
    resetArrival(fixture, 2);
    const { status, body } = await answer;
    assert.deepEqual([status, body], [503, "busy"]);
  });

  test.it("keeps its slot after a further long one has come", async (context) => {
    const fixture = await startFixture(context, [sendLong, sendLong, wait]);
    const answer = harness.call(fixture.vm.port);
    await waitForArrival(fixture, 2);
    await waitForDrop(fixture, 0);
    assert.equal(getArrival(fixture, 1).socket.destroyed, false);
    resetArrival(fixture, 2);
    checkLong(await answer);
  });

  test.it("keeps its slot after its caller has left", async (context) => {
    const fixture = await startFixture(context, [sendLong, wait]);
    const caller = net.connect(fixture.vm.port, "127.0.0.1");
    caller.write(`GET /fines HTTP/1.1\r\n${REQUEST_TEXT}`);
    await waitForArrival(fixture, 1);
    assert.equal(getArrival(fixture, 0).socket.destroyed, false);
    caller.destroy();
    await waitForDrop(fixture, 0);
    await waitForDrop(fixture, 1);
    await checkIdle(fixture);
  });

  test.it("keeps its slot after the deadline", async (context) => {
    const fixture = await startFixture(context, [sendLong, wait]);
    const answer = await harness.call(fixture.vm.port);
    assert.equal(harness.getReason(answer), "deadline_exceeded");
    await waitForDrop(fixture, 0);
    await checkIdle(fixture);
  });

  const ends: Readonly<Record<string, (caller: net.Socket, vm: harness.TestVm) => void>> = {
    "its caller has left": (caller) => caller.destroy(),
    "its key was withdrawn": (_caller, vm) => vm.configuration.publish({ targets: [], keys: {} }),
    "its deadline": () => {},
  };
  for (const [name, end] of Object.entries(ends)) {
    test.it(`goes on after ${name}, while it is passed on`, async (context) => {
      const fixture = await startFixture(context, [
        (response) => {
          response.writeHead(503, { "content-length": LONG.length + 1 }).write(LONG);
        },
        reset,
      ]);
      const caller = net.connect(fixture.vm.port, "127.0.0.1");
      let text = "";
      let isReset = false;
      caller.on("data", (chunk) => text += chunk.toString("latin1"));
      caller.on("error", () => isReset = true);
      caller.write(`GET /fines HTTP/1.1\r\n${REQUEST_TEXT}`);
      await harness.waitFor(() => text.endsWith(LONG));
      assert.equal(getArrival(fixture, 0).socket.destroyed, false);
      end(caller, fixture.vm);
      await waitForDrop(fixture, 0);
      await checkIdle(fixture);
      await harness.waitFor(() => caller.destroyed);
      assert.equal(isReset, name !== "its caller has left");
    });
  }

  // The VM notices the former end while the rest is unread, and the latter once it reads on.
  for (const bytes of [100_000, LONG.length - 1]) {
    test.it(`that breaks off after ${bytes} bytes looks complete, or waits for its deadline`, async (context) => {
      const fixture = await startFixture(context, [
        (response) => {
          response.writeHead(503, { "content-length": LONG.length }).write(LONG.slice(0, bytes));
        },
        wait,
      ]);
      const answer = harness.call(fixture.vm.port).catch(() => "broken off");
      await waitForArrival(fixture, 1);
      resetArrival(fixture, 0);
      await kernel.sleep(TIMEOUT_MILLISECONDS * 0.05);
      resetArrival(fixture, 1);
      const result = await answer;
      if (typeof result === "string") {
        assert.equal(await fixture.vm.getCount("hemlockwalk_cut_answers_total"), 1);
      } else {
        assert.deepEqual([result.status, harness.getReason(result)], [502, "target_reset"]);
        assert.equal(result.headers["hemlockwalk-run"], "unknown");
      }
      await checkIdle(fixture);
    });
  }
});
