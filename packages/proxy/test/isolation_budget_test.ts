/**
 * Tests what targets see of requests that are passed on while paths are lost and come back.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";

const TARGETS = 6;

/** Last number of the first VM's address; ports are claimed on those below. */
const FIRST_HOST = 3;

const VMS = 4;

/** Targets to which each route allows a request to be sent. */
const ATTEMPTS = 2;

/** Time that callers wait, and by which a target may be handed more, in milliseconds. */
const DEADLINE_MILLISECONDS = 1_500;
const MAX_EXTRA_MILLISECONDS = 500;

const REQUEST_INTERVAL_MILLISECONDS = 25;

const ROUTES = [
  harness.createRoute({ attempts: ATTEMPTS }),
  harness.createRoute({
    id: model.createRouteId("reads"),
    pathPrefix: "/reads/",
    isIdempotent: true,
    attempts: ATTEMPTS,
  }),
];

/** Arrival of a request at a target. */
interface Arrival {
  readonly target: model.TargetId;
  readonly at: number;
  /** Milliseconds that the target is handed. */
  readonly left: number;
}

/** Arrivals of one attempt of a client. */
interface Attempt {
  readonly isIdempotent: boolean;
  readonly sentAt: number;
  readonly arrivals: Arrival[];
}

const answerError: harness.Behaviour = (request, response) => {
  response.writeHead(500, harness.createAnswerHeaders(request)).end("failing");
};

const shed: harness.Behaviour = (request, response) => {
  const head = { ...harness.createAnswerHeaders(request), [harness.PROFILE.notRun]: "1" };
  response.writeHead(503, head).end();
};

/** What targets do with a request in turn: they serve a quarter of them. */
const BEHAVIOURS: readonly harness.Behaviour[] = [
  harness.answerSuccess,
  answerError,
  shed,
  harness.answerSuccess,
  shed,
  (request) => request.socket.destroy(),
  answerError,
  () => {
    // The target does not answer.
  },
];

/** Sends requests to the VMs in turn and records what targets see of them. */
class Callers {
  readonly #attempts = new Map<string, Attempt>();
  readonly #vms: readonly harness.TestVm[];

  constructor(vms: readonly harness.TestVm[], targets: readonly harness.TestTarget[]) {
    this.#vms = vms;
    let turn = 0;
    for (const target of targets) {
      target.behaviour = (request, response, body) => {
        const id = String(request.headers[harness.PROFILE.requestId]);
        this.#attempts.get(id)?.arrivals.push({
          target: target.id,
          at: performance.now(),
          left: Number(request.headers[harness.PROFILE.deadline]),
        });
        const behaviour = BEHAVIOURS[turn++ % BEHAVIOURS.length] ?? assert.fail();
        behaviour(request, response, body);
      };
    }
  }

  get attempts(): readonly Attempt[] {
    return [...this.#attempts.values()];
  }

  async sendFor(milliseconds: number): Promise<void> {
    const answers: Promise<harness.CallerAnswer>[] = [];
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt) {
      const number = this.#attempts.size;
      const vm = this.#vms[number % this.#vms.length] ?? assert.fail();
      const isIdempotent = Math.floor(number / this.#vms.length) % 2 === 0;
      const id = `attempt-${number}`;
      this.#attempts.set(id, { isIdempotent, sentAt: performance.now(), arrivals: [] });
      answers.push(vm.call({
        method: isIdempotent ? "GET" : "POST",
        path: isIdempotent ? "/reads/1" : "/bookings/1",
        headers: {
          [harness.PROFILE.requestId]: id,
          [harness.PROFILE.deadline]: String(DEADLINE_MILLISECONDS),
        },
      }));
      await kernel.sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
    await Promise.all(answers);
  }
}

async function withFleet(run: (vms: readonly harness.TestVm[]) => Promise<void>): Promise<void> {
  const store = new harness.MemoryStore();
  const vms: harness.TestVm[] = [];
  try {
    for (let index = 0; index < VMS; index++) {
      const seeds = vms.map(({ peerAddress }) => peerAddress);
      const host = `127.0.0.${FIRST_HOST + index}`;
      const vm = new harness.TestVm({ name: `vm-${index}`, store, seeds, host });
      vms.push(vm);
      await vm.start(
        index === 0 ? TARGETS : 0,
        harness.createDeclarations(1, { routes: ROUTES }),
      );
    }
    // All VMs know each other.
    await kernel.sleep(500);
    await run(vms);
  } finally {
    await Promise.all(vms.map((vm) => vm.stop()));
  }
}

test.describe("requests of VMs whose paths to the targets are lost and come back", () => {
  test.test("reach too many targets, too often, or with more time than is left", async () => {
    await withFleet(async (vms) => {
      const targets = vms[0]?.targets ?? [];
      const callers = new Callers(vms, targets);
      const sent = callers.sendFor(9_000);
      for (const [mode, first] of [["resets", 0], ["hangs", 1], ["resets", 2]] as const) {
        const hosts = vms.slice(first, first + 2).map(({ host }) => host);
        const endPartition = partitions.startPartition(hosts, targets, mode);
        await kernel.sleep(2_000);
        endPartition();
        await kernel.sleep(1_000);
      }
      await sent;
      const { attempts } = callers;
      for (const { isIdempotent, sentAt, arrivals } of attempts) {
        const reached = new Set(arrivals.map(({ target }) => target));
        assert.ok(reached.size <= ATTEMPTS, `${reached.size} targets reached`);
        assert.ok(isIdempotent || arrivals.length <= ATTEMPTS, `${arrivals.length} arrivals`);
        const latest = sentAt + DEADLINE_MILLISECONDS + MAX_EXTRA_MILLISECONDS;
        for (const { at, left } of arrivals) {
          assert.ok(left <= DEADLINE_MILLISECONDS + MAX_EXTRA_MILLISECONDS, `${left} ms handed on`);
          assert.ok(at + left <= latest, `${at + left - latest} ms too late`);
        }
      }
      const repeats = attempts.reduce(
        (sum, { arrivals }) => sum + Math.max(0, arrivals.length - 1),
        0,
      );
      const { retryRatio, retrySlack } = harness.BOUNDS;
      assert.ok(
        repeats <= retryRatio * attempts.length + retrySlack,
        `${repeats} repeats of ${attempts.length} requests`,
      );
      assert.ok(vms.some((vm) => countPassedOn(vm) > 0), "no request was passed on");
    });
  });
});

/** Traces in the log of requests that a VM has received from another. */
function countPassedOn(vm: harness.TestVm): number {
  return vm.log.filter(({ steps }) => steps?.includes('"received"') === true).length;
}
