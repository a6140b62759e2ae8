/**
 * A target that is at work on a request is not given up for its silence: further attempts are placed
 * beside it, and the caller gets the first response.
 *
 * The targets hold each response until the test releases it, so that no verdict depends on speed.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

/** Attempts are placed after a half and after three quarters of it. */
const TIMEOUT_MILLISECONDS = 2_000;

const HTTP_1_0_REQUEST =
  `GET /fines HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`;

const SIGNAL = { status: 503, header: "not-run", value: "shed" };

const POST_HEAD = `POST /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n`;

/** An attempt that arrived at a target and has not been answered. */
interface Arrival {
  readonly target: number;
  readonly response: http.ServerResponse;
  readonly socket: net.Socket;
}

/**
 * What a target does with each request; undefined to hold it until the test responds, and `dead` for
 * one that accepts no connection.
 */
type Action = ((response: http.ServerResponse) => void) | "dead" | undefined;

interface Fixture {
  readonly vm: harness.TestVm;
  readonly arrivals: Arrival[];
  publish(): void;
}

async function startFixture(
  context: test.TestContext,
  actions: readonly Action[],
  service: harness.Declaration["service"] = {},
): Promise<Fixture> {
  const arrivals: Arrival[] = [];
  const servers = await Promise.all(actions.map(async (action, target) => {
    if (action === "dead") {
      return { address: await kernelTesting.claimUnusedAddress(), stop: () => Promise.resolve() };
    }
    return harness.startTarget((request, response) => {
      request.resume();
      request.on("end", () => {
        arrivals.push({ target, response, socket: request.socket });
        action?.(response);
      });
    });
  }));
  const declaration = {
    targets: servers.map(({ address }) => address),
    route: { timeoutMilliseconds: TIMEOUT_MILLISECONDS },
    service: { notRunSignal: SIGNAL, ...service },
  };
  const vm = await harness.startVm(declaration);
  context.after(async () => {
    await vm.services.stop();
    await Promise.all(servers.map((server) => server.stop()));
  });
  return { vm, arrivals, publish: () => vm.configuration.publish(declaration) };
}

function waitForAttempts(fixture: Fixture, count: number): Promise<void> {
  return kernelTesting.waitFor(() => fixture.arrivals.length >= count, `${count} attempts`);
}

function waitForCancellation(fixture: Fixture): Promise<void> {
  return kernelTesting.waitFor(
    () => fixture.arrivals.every(({ socket }) => socket.destroyed),
    "the cancellation of all attempts",
  );
}

/** Waits until the gateway has had time to react to what a target did, and to place an attempt. */
function waitPastSilence(): Promise<boolean> {
  return kernel.sleep(TIMEOUT_MILLISECONDS * 0.6);
}

function getTargets(fixture: Fixture): number[] {
  return fixture.arrivals.map(({ target }) => target);
}

function respond(fixture: Fixture, index: number, body: string): void {
  fixture.arrivals[index]?.response.end(body);
}

/** Spends the retry budget of the service, with writes that no target accepts. */
async function spendBudget(fixture: Fixture): Promise<void> {
  const { vm } = fixture;
  vm.configuration.publish({
    targets: [await kernelTesting.claimUnusedAddress(), await kernelTesting.claimUnusedAddress()],
  });
  await harness.waitFor(async () => {
    await harness.call(vm.port, { method: "POST" });
    return await vm.getCount("hemlockwalk_not_retried_total", { reason: "budget_spent" }) > 0;
  });
  fixture.publish();
}

test.describe("a request at which a target is at work", () => {
  test.it("is given up although there is no other target", async (context) => {
    const fixture = await startFixture(context, [undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 1);
    await waitPastSilence();
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
    assert.deepEqual(getTargets(fixture), [0]);
  });

  test.it("is given up because the second target is slow too", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
    await kernelTesting.waitFor(
      () => fixture.arrivals[1]?.socket.destroyed === true,
      "the cancellation of the second attempt",
    );
    assert.deepEqual(getTargets(fixture), [0, 1]);
    const { vm } = fixture;
    assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "attempt_timeout" }), 1);
    assert.equal(await vm.getCount("hemlockwalk_retries_total"), 1);
    assert.equal(await vm.getCount("hemlockwalk_not_retried_total"), 0);
  });

  test.it("is given up although a third attempt is placed", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined, undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 3);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.1);
    assert.deepEqual(getTargets(fixture), [0, 1, 2]);
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
  });

  test.it("keeps its first target at work after the second one has answered", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
    respond(fixture, 1, "second");
    assert.equal((await answer).body, "second");
    await kernelTesting.waitFor(
      () => fixture.arrivals[0]?.socket.destroyed === true,
      "the cancellation of the first attempt",
    );
    const { vm } = fixture;
    // The silence of the first target remains evidence about it, so that a dead one is noticed.
    assert.equal(await vm.getCount("hemlockwalk_target_calls_total", { result: "timeout" }), 1);
    assert.equal(await vm.getCount("hemlockwalk_target_calls_total", { result: "success" }), 1);
  });

  const failures: Readonly<Record<string, (response: http.ServerResponse) => void>> = {
    "refuses it as not run": (response) => {
      response.writeHead(SIGNAL.status, { [SIGNAL.header]: SIGNAL.value }).end();
    },
    "resets the connection": (response) => response.socket?.resetAndDestroy(),
    "responds with a transient error": (response) => {
      response.writeHead(503).end("busy");
    },
    "responds with a transient error that is too long to be kept": (response) => {
      response.writeHead(503).end("x".repeat(300_000));
    },
    "sends a status that no response has": (response) => {
      response.socket?.write("HTTP/1.1 999 Status\r\ncontent-length: 0\r\n\r\n");
    },
    "sends an answer without a length": (response) => {
      response.socket?.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    },
    "ends an answer without a length": (response) => {
      response.socket?.end("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    },
    "sends an answer in a coding other than chunked": (response) => {
      response.socket?.write("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nperhaps half");
    },
  };
  for (const [name, action] of Object.entries(failures)) {
    test.it(`is given up because the second target ${name}`, async (context) => {
      const fixture = await startFixture(context, [undefined, action]);
      const answer = harness.call(fixture.vm.port);
      await waitForAttempts(fixture, 2);
      await kernel.sleep(TIMEOUT_MILLISECONDS * 0.1);
      respond(fixture, 0, "first");
      const { status, body } = await answer;
      assert.deepEqual([status, body], [200, "first"]);
      assert.deepEqual(getTargets(fixture), [0, 1]);
    });
  }

  const unsendable: Readonly<Record<string, (response: http.ServerResponse) => void>> = {
    "breaks off": (response) => response.socket?.destroy(),
    "is too long": (response) => response.end("x".repeat(300_000)),
  };
  for (const [name, end] of Object.entries(unsendable)) {
    test.it(`is given up for a response that ${name} before HTTP/1.0 gets it`, async (context) => {
      const fixture = await startFixture(context, [undefined, (response) => {
        response.write("x".repeat(100));
      }]);
      const answer = harness.sendRaw(fixture.vm.port, [HTTP_1_0_REQUEST]);
      await waitForAttempts(fixture, 2);
      await kernel.sleep(TIMEOUT_MILLISECONDS * 0.05);
      assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
      end(kernel.getDefined(fixture.arrivals[1], "The second attempt has arrived.").response);
      await kernel.sleep(TIMEOUT_MILLISECONDS * 0.05);
      respond(fixture, 0, "first");
      const { text } = await answer;
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.ok(text.endsWith("\r\n\r\nfirst"), text);
      assert.deepEqual(getTargets(fixture), [0, 1]);
    });
  }

  test.it("goes on after HTTP/1.0 has got the whole response of the second target", async (context) => {
    const fixture = await startFixture(context, [undefined, (response) => {
      response.write("sec");
    }]);
    const answer = harness.sendRaw(fixture.vm.port, [HTTP_1_0_REQUEST]);
    await waitForAttempts(fixture, 2);
    respond(fixture, 1, "ond");
    const { text } = await answer;
    assert.ok(text.endsWith("\r\n\r\nsecond"), text);
    await waitForCancellation({ ...fixture, arrivals: fixture.arrivals.slice(0, 1) });
  });

  test.it("is given up because the second target accepts no connection", async (context) => {
    const fixture = await startFixture(context, [undefined, "dead"]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 1);
    await waitPastSilence();
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
    assert.equal(
      await fixture.vm.getCount("hemlockwalk_target_calls_total", { result: "connect_failed" }),
      1,
    );
  });

  test.it("stays without an answer after all attempts have failed", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    fixture.arrivals[1]?.socket.resetAndDestroy();
    fixture.arrivals[0]?.socket.resetAndDestroy();
    const refused = await answer;
    assert.deepEqual([refused.status, harness.getReason(refused)], [502, "target_reset"]);
    assert.equal(refused.headers["hemlockwalk-run"], "unknown");
    assert.equal(
      await fixture.vm.getCount("hemlockwalk_not_retried_total", { reason: "no_other_target" }),
      1,
    );
  });

  const lastOnes: Readonly<Record<string, readonly [number, number]>> = {
    "the first": [1, 0],
    "the second": [0, 1],
  };
  for (const [name, order] of Object.entries(lastOnes)) {
    test.it(`waits for its deadline after all answers lacked a length, ${name} at last`, async (context) => {
      const fixture = await startFixture(context, [undefined, undefined, undefined]);
      const answer = harness.call(fixture.vm.port);
      await waitForAttempts(fixture, 2);
      for (const index of order) {
        fixture.arrivals[index]?.socket.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
        await kernelTesting.waitFor(
          () => fixture.arrivals[index]?.socket.destroyed === true,
          "the end of the attempt",
        );
      }
      const refused = await answer;
      assert.deepEqual([refused.status, harness.getReason(refused)], [502, "answer_unframed"]);
      assert.equal(refused.headers["hemlockwalk-run"], "unknown");
      assert.deepEqual(getTargets(fixture), [0, 1]);
    });
  }

  const broken: Readonly<Record<string, readonly (string | Buffer)[]>> = {
    "has a body that is no chunk": [
      `${POST_HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n`,
    ],
    "is refused and has a long body": [
      `${POST_HEAD.replace(harness.KEY, "unknown")}Content-Length: 30000000\r\n\r\n`,
      Buffer.alloc(12_000_000),
    ],
  };
  for (const [name, chunks] of Object.entries(broken)) {
    test.it(`is given up because a later one on its connection ${name}`, async (context) => {
      const fixture = await startFixture(context, [undefined]);
      const answer = harness.sendRaw(fixture.vm.port, [
        `GET /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
        ...chunks,
      ]);
      await waitForAttempts(fixture, 1);
      await kernel.sleep(TIMEOUT_MILLISECONDS * 0.2);
      assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
      respond(fixture, 0, "first");
      const { text } = await answer;
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.ok(text.includes("\r\n\r\nfirst"), text);
      assert.equal(await fixture.vm.getCount("hemlockwalk_running_requests"), 0);
    });

    test.it(`is waited for, but only the broken one was sent: it ${name}`, async (context) => {
      const fixture = await startFixture(context, [undefined]);
      await harness.sendRaw(fixture.vm.port, chunks);
      assert.equal(await fixture.vm.getCount("hemlockwalk_running_requests"), 0);
      assert.deepEqual(getTargets(fixture), []);
    });
  }

  test.it("is given up because the VM stops", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 1);
    const stopped = fixture.vm.services.stop();
    await waitForAttempts(fixture, 2);
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
    await stopped;
  });

  test.it("is given up although the retry budget is spent", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    await spendBudget(fixture);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 1);
    await waitPastSilence();
    const [target] = getTargets(fixture);
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
    assert.deepEqual(getTargets(fixture), [target]);
  });

  test.it("is given up although no other target has a free slot", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined], { slots: 1 });
    const write = harness.call(fixture.vm.port, { method: "POST" });
    await waitForAttempts(fixture, 1);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    await waitPastSilence();
    respond(fixture, 1, "read");
    assert.equal((await answer).body, "read");
    respond(fixture, 0, "write");
    assert.equal((await write).body, "write");
    assert.deepEqual(getTargets(fixture), [0, 1]);
  });

  test.it("gets no attempt beside it although a slot becomes free later", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined], { slots: 1 });
    const write = harness.call(fixture.vm.port, { method: "POST" });
    await waitForAttempts(fixture, 1);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    await waitPastSilence();
    respond(fixture, 0, "write");
    assert.equal((await write).body, "write");
    await waitForAttempts(fixture, 3);
    respond(fixture, 2, "second");
    assert.equal((await answer).body, "second");
  });

  test.it("goes on after its caller has left", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const caller = net.connect(fixture.vm.port, "127.0.0.1");
    caller.write(`GET /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`);
    await waitForAttempts(fixture, 2);
    assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
    caller.destroy();
    await waitForCancellation(fixture);
    await harness.waitFor(async () =>
      await fixture.vm.getCount("hemlockwalk_cancelled_requests_total") === 1
    );
  });

  test.it("goes on after its deadline", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
    const refused = await answer;
    assert.deepEqual([refused.status, harness.getReason(refused)], [504, "deadline_exceeded"]);
    assert.equal(refused.headers["hemlockwalk-run"], "unknown");
    await waitForCancellation(fixture);
  });

  test.it("goes on after the withdrawal of its key", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    const answer = harness.call(fixture.vm.port);
    await waitForAttempts(fixture, 2);
    assert.equal(fixture.arrivals[0]?.socket.destroyed, false);
    fixture.vm.configuration.publish({ targets: [], keys: {} });
    const refused = await answer;
    assert.equal(harness.getReason(refused), "key_withdrawn");
    assert.equal(refused.headers["hemlockwalk-run"], "unknown");
    await waitForCancellation(fixture);
  });

  test.it("runs twice although it must not", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined, undefined]);
    const answer = harness.call(fixture.vm.port, { method: "POST", body: "fine" });
    await waitForAttempts(fixture, 1);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.85);
    assert.deepEqual(getTargets(fixture), [0]);
    respond(fixture, 0, "first");
    assert.equal((await answer).body, "first");
  });

  test.it("gets parts of two answers that arrive at the same time", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined]);
    // Each request earns a tenth of a retry, and a VM begins with two.
    for (let round = 0; round < 2; round++) {
      fixture.arrivals.length = 0;
      const answer = harness.call(fixture.vm.port);
      await waitForAttempts(fixture, 2);
      assert.ok(fixture.arrivals.every(({ socket }) => !socket.destroyed));
      const bodies = ["a", "b"].map((letter) => letter.repeat(300_000));
      fixture.arrivals.forEach(({ response }, index) => {
        response.writeHead(200, { "content-length": 300_000 });
        response.write(bodies[index]?.slice(0, 150_000));
      });
      fixture.arrivals.forEach(({ response }, index) =>
        response.end(bodies[index]?.slice(150_000))
      );
      const { status, body } = await answer;
      assert.equal(status, 200);
      assert.ok(bodies.includes(body), `The caller got ${body.length} bytes of both.`);
    }
    assert.equal(await fixture.vm.getCount("hemlockwalk_cut_answers_total"), 0);
  });

  test.it("gets more attempts beside it than the retry budget allows", async (context) => {
    const fixture = await startFixture(context, [undefined, undefined, undefined]);
    const requests = 12;
    const answers = Array.from({ length: requests }, () => harness.call(fixture.vm.port));
    await waitForAttempts(fixture, requests + 1);
    await kernel.sleep(TIMEOUT_MILLISECONDS * 0.35);
    // The budget starts with two retries, and each request adds a tenth.
    const retries = Math.floor(2 + requests * 0.1);
    assert.equal(fixture.arrivals.length, requests + retries);
    assert.equal(await fixture.vm.getCount("hemlockwalk_retries_total"), retries);
    fixture.arrivals.forEach(({ response }) => response.end("done"));
    for (const answer of await Promise.all(answers)) {
      assert.equal(answer.body, "done");
    }
  });

  test.it("has no answer before its deadline if an error response does not end", async (context) => {
    const fixture = await startFixture(context, [
      (response) => {
        response.writeHead(503, { "content-length": 4 }).write("bu");
      },
      (response) => response.end("done"),
    ]);
    const { status, body } = await harness.call(fixture.vm.port);
    assert.deepEqual([status, body], [200, "done"]);
  });
});
