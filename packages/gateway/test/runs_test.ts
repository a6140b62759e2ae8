/**
 * Whatever targets do, a request that must not run twice runs at most once, and the gateway never
 * reports a request as not run that has run.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as fc from "fast-check";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

const SEED = 20_260_303;

const DEADLINE_MILLISECONDS = 120;

const SIGNAL = { status: 503, header: "not-run", value: "shed" };

/** How a target handles one attempt of a request. */
const ACTIONS = [
  "answer",
  "reset unread",
  "run and reset",
  "run and hang",
  "run and cut",
  "run and answer late",
  "run and fail",
  "not run",
] as const;

type Action = typeof ACTIONS[number];

/** A request, and how targets handle its first, second and third attempt. */
interface Plan {
  readonly method: "GET" | "POST";
  readonly bodyBytes: number;
  readonly actions: readonly Action[];
}

interface Oracle {
  plans: readonly Plan[];
  arrivals: number[];
  runs: number[];
}

function handleAttempt(
  oracle: Oracle,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const index = Number(request.url?.split("/")[2]);
  const arrival = oracle.arrivals[index] ?? 0;
  oracle.arrivals[index] = arrival + 1;
  const action = oracle.plans[index]?.actions[arrival] ?? "answer";
  if (action === "reset unread") {
    request.socket.resetAndDestroy();
    return;
  }
  request.resume();
  request.on("end", () => {
    if (action === "not run") {
      response.writeHead(SIGNAL.status, { [SIGNAL.header]: SIGNAL.value }).end();
      return;
    }
    oracle.runs[index] = (oracle.runs[index] ?? 0) + 1;
    answer(action, index, response);
  });
}

function answer(action: Action, index: number, response: http.ServerResponse): void {
  const body = `answer ${index}.`;
  switch (action) {
    case "run and reset":
      response.socket?.resetAndDestroy();
      break;
    case "run and hang":
      break;
    case "run and cut":
      response.writeHead(200, { "content-length": body.length });
      response.write(body.slice(0, -1), () => response.socket?.destroy());
      break;
    case "run and answer late":
      setTimeout(() => response.end(body), DEADLINE_MILLISECONDS);
      break;
    case "run and fail":
      response.writeHead(503).end(body);
      break;
    default:
      response.end(body);
  }
}

function check(oracle: Oracle, index: number, result: harness.CallerResult | undefined): void {
  const plan = oracle.plans[index];
  const runs = oracle.runs[index] ?? 0;
  const details = JSON.stringify({ plan, runs, result });
  if (plan?.method === "POST") {
    assert.ok(runs <= 1, details);
  }
  if (result === undefined) {
    assert.ok(runs >= 1, details);
    return;
  }
  const reportedRun = result.headers["hemlockwalk-run"];
  if (reportedRun === undefined) {
    assert.equal(result.body, `answer ${index}.`, details);
    assert.ok(runs >= 1, details);
    return;
  }
  // The oracle may count a run that began after an `unknown` response was sent, but not after `no`.
  assert.ok(reportedRun === "unknown" || runs === 0, details);
}

const plan: fc.Arbitrary<Plan> = fc.record({
  method: fc.constantFrom("GET", "POST"),
  bodyBytes: fc.constantFrom(0, 10, 100_000),
  actions: fc.array(fc.constantFrom(...ACTIONS), { minLength: 1, maxLength: 3 }),
});

test.describe("runs", () => {
  test.it("happen at most once and are reported correctly", async (context) => {
    const oracle: Oracle = { plans: [], arrivals: [], runs: [] };
    const servers = await Promise.all(
      Array.from(
        { length: 3 },
        () => harness.startTarget((request, response) => handleAttempt(oracle, request, response)),
      ),
    );
    const dead = await kernelTesting.claimUnusedAddress();
    const route = { timeoutMilliseconds: DEADLINE_MILLISECONDS };
    const service = { notRunSignal: SIGNAL };
    const alive = servers.map(({ address }) => address);
    const vm = await harness.startVm({ targets: alive, route, service });
    context.after(async () => {
      await vm.services.stop();
      await Promise.all(servers.map((server) => server.stop()));
    });
    let refused = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(plan, { minLength: 1, maxLength: 8 }),
        fc.boolean(),
        async (plans, withDead) => {
          Object.assign(oracle, { plans, arrivals: [], runs: [] });
          const targets = withDead ? [dead, ...alive] : alive;
          vm.configuration.publish({ targets, route, service });
          const results = await Promise.all(
            plans.map(({ method, bodyBytes }, index) =>
              harness.call(vm.port, {
                method,
                path: `/fines/${index}`,
                body: Buffer.alloc(bodyBytes, "b"),
                ...(bodyBytes === 10 ? { headers: { "transfer-encoding": "chunked" } } : {}),
              }).catch(() => undefined)
            ),
          );
          results.forEach((result, index) => check(oracle, index, result));
          refused += results.filter((result) => result?.headers["hemlockwalk-run"] === "no").length;
        },
      ),
      { seed: SEED, numRuns: 80 },
    );
    await harness.waitFor(async () => await vm.getCount("hemlockwalk_running_requests") === 0);
    assert.ok(refused > 5, `Only ${refused} requests were refused as not run.`);
    assert.ok(await vm.getCount("hemlockwalk_retries_total") > 20);
  });
});
