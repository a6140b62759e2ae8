/**
 * Guards against what happens to a request that one VM serves for another when the grace period of
 * the serving one ends, while the caller and the VM that took the request have time left.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as passingOn from "../src/passing_on.ts";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";

const { PROFILE } = harness;

const RUNNING = "running";

const TARGETS = 4;

/** Longest interval in which a VM tests its path, which goes on after the end of its services. */
const MAX_PATH_TEST_MILLISECONDS = 2_500;

/** The targets of all tests. */
const started: harness.TestTarget[] = [];

/** Last number of the first VM's address; ports are claimed on one below. */
const FIRST_HOST = 3;

const DEADLINE_MILLISECONDS = 12_000;

/** Short, so that the test need not wait; the cut-off comes 0.4 s before its end. */
const BOUNDS = { ...harness.BOUNDS, graceMilliseconds: 2_000 };

const CUT_OFF_ANSWER = [504, "stopping"];

function createDeclarations(isIdempotent: boolean, attempts: number) {
  return harness.createDeclarations(1, {
    routes: [
      harness.createRoute(),
      harness.createRoute({
        id: model.createRouteId("slow"),
        pathPrefix: "/slow/",
        isIdempotent,
        attempts,
        // So long that no attempt counts as silent.
        objectiveMilliseconds: 10_000,
        timeoutMilliseconds: DEADLINE_MILLISECONDS,
      }),
    ],
  });
}

/** How a target responds to an arrival of the request, by the number of arrivals before it. */
type Response = "hangs" | "fails" | "succeeds";

interface Outcome {
  readonly answer: readonly unknown[];
  /** Addresses of the VMs from which the request arrived at targets. */
  readonly senders: readonly string[];
  /** Targets that each VM might use, as the request was passed on. */
  readonly allowed: readonly unknown[];
  /** Addresses of the VMs that were stopped. */
  readonly stopped: readonly string[];
}

interface Options {
  readonly isIdempotent?: boolean;
  readonly attempts?: number;
  readonly servers?: number;
  readonly responses: readonly Response[];
}

/**
 * Lets a VM that reaches no target pass a request on, and stops the one that serves it as soon as the
 * request hangs at a target.
 */
async function runCutOff(
  { isIdempotent = true, attempts = 3, servers = 2, responses }: Options,
): Promise<Outcome> {
  const store = new harness.MemoryStore();
  const declared = createDeclarations(isIdempotent, attempts);
  const vms: harness.TestVm[] = [];
  const stopped = new Map<harness.TestVm, Promise<void>>();
  const stop = (vm: harness.TestVm) => {
    const ended = stopped.get(vm) ?? vm.stop();
    stopped.set(vm, ended);
    return ended;
  };
  let endPartition = () => undefined as void;
  const targets = Array.from(
    { length: TARGETS },
    (_, index) => new harness.TestTarget(`target-${index}`),
  );
  try {
    for (const [index, target] of targets.entries()) {
      started.push(target);
      await target.start();
      store.put(target.createChange(index + 2));
    }
    for (let index = 0; index <= servers; index++) {
      const vm = new harness.TestVm({
        name: index === 0 ? "vm-cut" : `vm-server-${index}`,
        store,
        seeds: vms.map(({ peerAddress }) => peerAddress),
        host: `127.0.0.${FIRST_HOST + index}`,
        bounds: BOUNDS,
      });
      vms.push(vm);
      await vm.start(0, declared);
    }
    const cut = vms[0] ?? assert.fail();
    // All VMs know each other.
    await kernel.sleep(500);
    endPartition = partitions.startPartition([cut.host], targets, "resets");
    await testing.waitFor(
      async () => {
        await Promise.all([1, 2, 3].map(() => cut.call()));
        return cut.log.some(({ code }) => code === kernel.LogMessages.pathLost.code);
      },
      "the path is lost",
      5_000,
    );
    const senders: string[] = [];
    const stoppedHosts: string[] = [];
    const behave = (request: http.IncomingMessage, response: http.ServerResponse) => {
      if (request.headers[PROFILE.requestId] !== RUNNING) {
        harness.answerSuccess(request, response);
        return;
      }
      const sender = request.socket.remoteAddress ?? "";
      const kind = responses[senders.length] ?? assert.fail("the request arrives once too often");
      senders.push(sender);
      if (kind === "hangs") {
        const server = vms.find(({ host }) => host === sender) ?? assert.fail();
        stoppedHosts.push(sender);
        void stop(server);
      } else if (kind === "fails") {
        response.writeHead(500, harness.createAnswerHeaders(request));
        response.end("failed");
      } else {
        harness.answerSuccess(request, response);
      }
    };
    targets.forEach((target) => target.behaviour = behave);
    const answer = await cut.call({
      ...(isIdempotent ? { method: "GET" } : {}),
      path: "/slow/1",
      headers: {
        [PROFILE.requestId]: RUNNING,
        [PROFILE.deadline]: String(DEADLINE_MILLISECONDS),
      },
    });
    const isRefusal = answer.headers["content-type"] === "application/problem+json";
    const body: unknown = isRefusal
      ? (JSON.parse(answer.body) as { readonly title: string }).title
      : answer.body;
    // Time for what might still be sent.
    await kernel.sleep(300);
    await harness.waitFor(() => cut.log.some(({ request }) => request === RUNNING), "its trace");
    const { steps } = cut.getTrace(RUNNING);
    return {
      answer: [answer.status, body],
      senders,
      allowed: steps.filter(({ step }) => step === "passed_on").map((step) => step["attempts"]),
      stopped: stoppedHosts,
    };
  } finally {
    endPartition();
    await Promise.all(vms.map(stop));
  }
}

// The mock of a partition replaces a method of all sockets, so the tests run one after another.
test.describe("at the cut-off of the VM that serves a request", () => {
  test.after(async () => {
    // The tests of the path end once they have succeeded.
    await kernel.sleep(MAX_PATH_TEST_MILLISECONDS);
    started.forEach((target) => target.stop());
  });

  test.test("its caller gets 504 though another VM can serve it", async () => {
    const outcome = await runCutOff({ responses: ["hangs", "succeeds"] });
    assert.deepEqual(outcome.answer, [200, "done"]);
    const [first, second] = outcome.senders;
    assert.notEqual(first, second);
    assert.deepEqual(outcome.stopped, [first]);
    // What the first VM used counts against the attempts of the route.
    assert.deepEqual(outcome.allowed, [3, 2]);
  });

  test.test("its caller gets 504 though a third VM can serve it", async () => {
    const outcome = await runCutOff({ servers: 3, responses: ["hangs", "hangs", "succeeds"] });
    assert.deepEqual(outcome.answer, [200, "done"]);
    assert.equal(new Set(outcome.senders).size, 3);
    assert.deepEqual(outcome.allowed, [3, 2, 1]);
  });

  test.test("a request that must not run twice is sent to another target", async () => {
    const outcome = await runCutOff({ isIdempotent: false, responses: ["hangs"] });
    assert.deepEqual(outcome.answer, CUT_OFF_ANSWER);
    assert.equal(outcome.senders.length, 1);
  });

  test.test("a request is sent to more targets than its route allows: one", async () => {
    const outcome = await runCutOff({ attempts: 1, responses: ["hangs"] });
    assert.deepEqual(outcome.answer, CUT_OFF_ANSWER);
    assert.equal(outcome.senders.length, 1);
  });

  test.test("a request is sent to more targets than its route allows: two", async () => {
    const outcome = await runCutOff({ attempts: 2, responses: ["fails", "hangs"] });
    assert.deepEqual(outcome.answer, CUT_OFF_ANSWER);
    assert.equal(outcome.senders.length, 2);
  });

  test.test("a request is not sent on though its route allows one target more", async () => {
    const outcome = await runCutOff({ responses: ["fails", "hangs", "succeeds"] });
    assert.deepEqual(outcome.answer, [200, "done"]);
    assert.deepEqual(outcome.allowed, [3, 1]);
  });
});

test.describe("the targets that a passed on request has used", () => {
  const create = (received: number | undefined) => ({
    kind: "refused_by_peer" as const,
    refusal: {
      status: 504,
      reason: "stopping" as const,
      ...(received === undefined ? {} : { received }),
    },
  });

  test.test("are taken for fewer than a VM may have used that does not tell", () => {
    assert.equal(passingOn.countReceived(create(undefined), 3), 3);
  });

  test.test("are not those that the VM states, or more than it was allowed", () => {
    assert.equal(passingOn.countReceived(create(0), 3), 0);
    assert.equal(passingOn.countReceived(create(2), 3), 2);
    assert.equal(passingOn.countReceived(create(7), 3), 3);
  });
});
