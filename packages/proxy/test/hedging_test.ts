/**
 * Tests of hedged requests through a VM in front of real targets. A title names the failure that the
 * test guards against.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import type * as proxy from "@hemlockwalk/proxy";
import * as harness from "./harness.ts";

const OBJECTIVE = 400;
const ON: proxy.HedgingOptions = { maxExtraShare: 0.2, services: new Map() };

/** Usual processing time. */
const USUAL = 40;

/** Longer than the buffer for responses, so that their beginning is delivered before their end. */
const LONG = "x".repeat(400_000);

const ROUTES = [harness.createRoute({
  id: model.createRouteId("reads"),
  pathPrefix: "/reads/",
  isIdempotent: true,
  attempts: 3,
  objectiveMilliseconds: OBJECTIVE,
  timeoutMilliseconds: 3_000,
})];

/** A VM with two targets, and enough earlier requests that an extra attempt is allowed. */
async function withHedgingVm(
  hedging: proxy.HedgingOptions,
  run: (vm: harness.TestVm) => Promise<void>,
): Promise<void> {
  const vm = new harness.TestVm(undefined, hedging);
  try {
    await vm.start(2, harness.createDeclarations(1, { routes: ROUTES }));
    for (const target of vm.targets) {
      target.behaviour = (request, response) => {
        setTimeout(() => harness.answerSuccess(request, response), USUAL);
      };
    }
    for (let request = 0; request < 24; request++) {
      assert.equal((await vm.call({ method: "GET", path: "/reads/1" })).status, 200);
    }
    // The log has room for a few traces of successful requests in each second.
    await kernel.sleep(1_100);
    await run(vm);
  } finally {
    await vm.stop();
  }
}

interface Served {
  /** Requests in the order in which they arrived at targets. */
  readonly arrivals: { target: model.TargetId; request: http.IncomingMessage }[];
  readonly closed: model.TargetId[];
}

/** Lets the target of the first request answer late, with a body of its own. */
function delayFirst(vm: harness.TestVm, body: string, milliseconds: number): Served {
  const served: Served = { arrivals: [], closed: [] };
  for (const target of vm.targets) {
    target.behaviour = (request, response) => {
      served.arrivals.push({ target: target.id, request });
      if (served.arrivals.length === 1) {
        request.socket.once("close", () => served.closed.push(target.id));
      }
      const isFirst = served.arrivals.length === 1;
      setTimeout(() => {
        response.writeHead(200, harness.createAnswerHeaders(request));
        response.end(isFirst ? `late ${body}` : `soon ${body}`);
      }, isFirst ? milliseconds : 0);
    };
  }
  return served;
}

test.describe("hedged requests", { concurrency: 4 }, () => {
  for (const [size, body] of [["short", "response"], ["long", LONG]] as const) {
    test.it(`return more than one ${size} response, or a late one to a later caller`, async () => {
      await withHedgingVm(ON, async (vm) => {
        const served = delayFirst(vm, body, 1_200);
        const startedAt = kernel.getMonotonicMilliseconds();
        const headers = { [harness.PROFILE.requestId]: "hedged" };
        const answer = await vm.call({ method: "GET", path: "/reads/1", headers });
        const elapsed = kernel.getMonotonicMilliseconds() - startedAt;
        assert.deepEqual([answer.status, answer.isComplete], [200, true]);
        assert.equal(answer.body, `soon ${body}`);
        assert.ok(elapsed < 1_200, `the slow target was waited for: ${elapsed} ms`);
        assert.equal(served.arrivals.length, 2);
        const [first, second] = served.arrivals;
        assert.notEqual(first?.target, second?.target);
        const getLeft = (request: http.IncomingMessage | undefined) =>
          Number(request?.headers[harness.PROFILE.deadline]);
        assert.ok(getLeft(second?.request) < getLeft(first?.request) - 50, "what is left then");
        await harness.waitFor(
          () => first !== undefined && served.closed.includes(first.target),
          "the connection of the cancelled attempt is closed",
          1_000,
        );
        await harness.waitFor(() => vm.log.some(({ request }) => request === "hedged"), "a trace");
        const { line, steps } = vm.getTrace("hedged");
        assert.deepEqual([line.outcome, line.status], ["answered", 200]);
        const names = steps.map(({ step }) => step);
        assert.ok(names.includes("hedged") && names.includes("hedge_ended"), names.join());
        assert.equal(steps.filter(({ step }) => step === "answered").length, 1);
        assert.equal(await vm.readCounter("hemlockwalk_hedges_total", { event: "sent" }), 1);
        assert.equal(await vm.readCounter("hemlockwalk_hedges_total", { event: "won" }), 1);
        assert.equal(await vm.readCounter("hemlockwalk_hedges_total", { event: "cancelled" }), 1);
        // The late response is written meanwhile.
        for (let request = 0; request < 20; request++) {
          const next = await vm.call({ method: "GET", path: "/reads/1" });
          assert.deepEqual([next.status, next.body], [200, `soon ${body}`]);
          await kernel.sleep(50);
        }
        assert.ok(!vm.log.some(({ code }) => code === kernel.LogMessages.targetSuspected.code));
      });
    });
  }

  test.it("stay at one of the two targets after the caller has left", async () => {
    await withHedgingVm(ON, async (vm) => {
      const arrived: model.TargetId[] = [];
      const closed: model.TargetId[] = [];
      for (const target of vm.targets) {
        target.behaviour = (request) => {
          arrived.push(target.id);
          request.socket.once("close", () => closed.push(target.id));
        };
      }
      const caller = new AbortController();
      const headers = { [harness.PROFILE.requestId]: "left" };
      const request = { method: "GET", path: "/reads/1", headers, signal: caller.signal };
      const answer = vm.call(request);
      await harness.waitFor(() => arrived.length === 2, "both targets run the request", 1_000);
      caller.abort();
      await answer;
      await harness.waitFor(() => closed.length === 2, "both calls have ended", 1_000);
      await harness.waitFor(() => vm.log.some(({ request }) => request === "left"), "a trace");
      const { line, steps } = vm.getTrace("left");
      assert.equal(line.outcome, "caller_left");
      assert.ok(steps.some(({ step }) => step === "hedged"));
      assert.ok(!steps.some(({ step }) => step === "retried"));
      assert.equal(arrived.length, 2);
    });
  });

  test.it("are lost or repeated without a retry because the second target rejects them", async () => {
    await withHedgingVm(ON, async (vm) => {
      const served: Served = { arrivals: [], closed: [] };
      for (const target of vm.targets) {
        target.behaviour = (request, response) => {
          served.arrivals.push({ target: target.id, request });
          if (served.arrivals.length === 1) {
            const ready = () => harness.answerSuccess(request, response);
            // After the second attempt, and before the first one is given up.
            const timer = setInterval(() => {
              if (served.arrivals.length === 2) {
                clearInterval(timer);
                setTimeout(ready, 5);
              }
            }, 1);
            request.socket.once("close", () => clearInterval(timer));
          } else {
            const id = request.headers[harness.PROFILE.requestId];
            response.writeHead(503, {
              [harness.PROFILE.requestId]: id,
              [harness.PROFILE.notRun]: "1",
            }).end();
          }
        };
      }
      const answer = await vm.call({ method: "GET", path: "/reads/1" });
      assert.deepEqual([answer.status, answer.body], [200, "done"]);
      assert.equal(served.arrivals.length, 2);
      assert.equal(await vm.readCounter("hemlockwalk_hedges_total", { event: "won" }), 0);
    });
  });

  test.it("are sent although the operators have not switched hedging on for the service", async () => {
    const services = new Map([["desk", 0]]);
    for (const hedging of [{ ...ON, maxExtraShare: 0 }, { ...ON, services }]) {
      await withHedgingVm(hedging, async (vm) => {
        const served = delayFirst(vm, "response", 1_200);
        const headers = { [harness.PROFILE.requestId]: "plain" };
        const answer = await vm.call({ method: "GET", path: "/reads/1", headers });
        assert.equal(answer.body, "soon response");
        await harness.waitFor(() => vm.log.some(({ request }) => request === "plain"), "a trace");
        const names = vm.getTrace("plain").steps.map(({ step }) => String(step));
        // Without a hedge, the second attempt begins when the first counts as silent, and the first
        // one goes on until the second has its response.
        const order = ["placed", "silent", "retried", "answered", "given_up"];
        const places = order.map((name) => names.indexOf(name));
        assert.ok(!places.includes(-1), names.join());
        assert.deepEqual(places, places.toSorted((one, other) => one - other), names.join());
        assert.equal(names.filter((name) => name === "retried").length, 1);
        assert.ok(!names.some((name) => name.startsWith("hedge")), names.join());
        assert.equal(served.arrivals.length, 2);
        assert.equal(await vm.readCounter("hemlockwalk_hedges_total", { event: "sent" }), 0);
      });
    }
  });
});
