/**
 * Which requests are retried, and how the others are refused.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

interface Fixture {
  readonly vm: harness.TestVm;
  readonly runs: string[];
}

async function startFixture(
  context: test.TestContext,
  first: http.RequestListener | "dead",
  declaration: Partial<harness.Declaration> = {},
): Promise<Fixture> {
  const runs: string[] = [];
  const failing = first === "dead" ? undefined : await harness.startTarget((request, response) => {
    request.resume();
    request.on("end", () => {
      runs.push("failing");
      first(request, response);
    });
  });
  const healthy = await harness.startTarget((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      runs.push("healthy");
      response.end(`healthy ${Buffer.concat(chunks).toString()}`);
    });
  });
  const vm = await harness.startVm({
    targets: [failing?.address ?? await kernelTesting.claimUnusedAddress(), healthy.address],
    ...declaration,
  });
  context.after(async () => {
    await vm.services.stop();
    await failing?.stop();
    await healthy.stop();
  });
  return { vm, runs };
}

const reset: http.RequestListener = (request) => request.socket.resetAndDestroy();

test.describe("retries", () => {
  test.it("retries a write on another target if no connection opened", async (context) => {
    const { vm, runs } = await startFixture(context, "dead");
    const answer = await harness.call(vm.port, { method: "POST", body: "fine" });
    assert.equal(answer.body, "healthy fine");
    assert.deepEqual(runs, ["healthy"]);
    assert.equal(await vm.getCount("hemlockwalk_retries_total", { reason: "connect_failed" }), 1);
  });

  test.it("does not retry a write that may have run; reports it as unknown", async (context) => {
    const { vm, runs } = await startFixture(context, reset);
    const answer = await harness.call(vm.port, { method: "POST", body: "fine" });
    assert.equal(answer.status, 502);
    assert.equal(answer.headers["hemlockwalk-run"], "unknown");
    assert.deepEqual(runs, ["failing"]);
    assert.equal(
      await vm.getCount("hemlockwalk_not_retried_total", { reason: "may_have_run" }),
      1,
    );
  });

  test.it("retries a read after a reset, a transient error and a timeout", async (context) => {
    const endings: http.RequestListener[] = [
      reset,
      (_request, response) => response.writeHead(503).end(),
      () => {},
    ];
    for (const ending of endings) {
      const { vm, runs } = await startFixture(context, ending, {
        route: { timeoutMilliseconds: 400 },
      });
      const answer = await harness.call(vm.port);
      assert.equal(answer.body, "healthy ");
      assert.deepEqual(runs, ["failing", "healthy"]);
    }
  });

  for (const method of ["GET", "POST"]) {
    test.it(`${method} whose response breaks off before HTTP/1.0 got any of it`, async (context) => {
      const { vm, runs } = await startFixture(context, (_request, response) => {
        response.write("half");
        setTimeout(() => response.socket?.destroy(), 20);
      });
      const { text } = await harness.sendRaw(vm.port, [
        `${method} /fines HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
      ]);
      if (method === "GET") {
        assert.ok(text.endsWith("\r\n\r\nhealthy "), text);
        assert.deepEqual(runs, ["failing", "healthy"]);
      } else {
        assert.match(text, /^HTTP\/1\.1 502 /);
        assert.match(text, /\r\nhemlockwalk-run: unknown\r\n/);
        assert.deepEqual(runs, ["failing"]);
      }
    });
  }

  test.it("passes an error response on if no other target is left", async (context) => {
    const target = await harness.startTarget((_request, response) => {
      response.writeHead(503).end("busy");
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const answer = await harness.call(vm.port);
    assert.deepEqual([answer.status, answer.body], [503, "busy"]);
  });

  test.it("retries a write on another target after a not-run signal", async (context) => {
    const { vm, runs } = await startFixture(context, (_request, response) => {
      response.writeHead(503, { "not-run": "shed" }).end();
    }, { service: { notRunSignal: { status: 503, header: "not-run", value: "shed" } } });
    const answer = await harness.call(vm.port, { method: "POST", body: "fine" });
    assert.equal(answer.body, "healthy fine");
    assert.deepEqual(runs, ["failing", "healthy"]);
    const again = await harness.call(vm.port, { method: "POST" });
    assert.equal(again.status, 200);
  });

  test.it("does not accept a partial match as a not-run signal", async (context) => {
    const { vm, runs } = await startFixture(context, (_request, response) => {
      response.writeHead(503, { "not-run": "other" }).end("mine");
    }, { service: { notRunSignal: { status: 503, header: "not-run", value: "shed" } } });
    const answer = await harness.call(vm.port, { method: "POST" });
    assert.deepEqual([answer.status, answer.body, runs], [503, "mine", ["failing"]]);
  });

  test.it("does not retry once part of a long body has been streamed", async (context) => {
    const { vm, runs } = await startFixture(context, reset, {
      route: { idempotentMethods: ["PUT"] },
    });
    const answer = await harness.call(vm.port, {
      method: "PUT",
      body: Buffer.alloc(300_000, "a"),
    });
    assert.equal(answer.headers["hemlockwalk-run"], "unknown");
    assert.deepEqual(runs, ["failing"]);
    assert.equal(
      await vm.getCount("hemlockwalk_not_retried_total", { reason: "body_not_replayable" }),
      1,
    );
  });

  test.it("limits retries during an outage", async (context) => {
    const dead = [
      await kernelTesting.claimUnusedAddress(),
      await kernelTesting.claimUnusedAddress(),
    ];
    const vm = await harness.startVm({ targets: dead });
    context.after(() => vm.services.stop());
    const requests = 200;
    for (let index = 0; index < requests; index++) {
      const answer = await harness.call(vm.port, { method: "POST" });
      assert.deepEqual([answer.status, answer.headers["hemlockwalk-run"]], [502, "no"]);
    }
    const retried = await vm.getCount("hemlockwalk_retries_total");
    assert.ok(retried > 10, `There were ${retried} retries.`);
    assert.ok(retried <= 10 + requests * 0.1, `There were ${retried} retries.`);
    assert.ok(
      await vm.getCount("hemlockwalk_not_retried_total", { reason: "budget_spent" }) > 0,
    );
  });

  test.it("reports a write that reached its deadline on a target as unknown", async (context) => {
    const { vm, runs } = await startFixture(context, () => {}, {
      route: { timeoutMilliseconds: 100 },
    });
    const answer = await harness.call(vm.port, { method: "POST" });
    assert.deepEqual([answer.status, answer.headers["hemlockwalk-run"]], [504, "unknown"]);
    assert.equal(harness.getReason(answer), "deadline_exceeded");
    assert.deepEqual(runs, ["failing"]);
  });
});
