/**
 * Guards against attempts that a VM gives up while their target is at work, because something else
 * has changed meanwhile: its target, the declarations, the path to the targets or the evidence
 * against the request. What has changed binds requests that begin later.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import type * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import type * as placement from "@hemlockwalk/placement";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";

const { PROFILE } = harness;

/** Long enough that a change is in force before the response. */
const WORK_MILLISECONDS = 2_200;

/** Shorter than the requests of the tests take. */
const LOWERED_TIMEOUT_MILLISECONDS = 300;

/** Longer than withdrawals are held back after a restore of the store. */
const HELD_MILLISECONDS = 2_500;

const [NORTH, SOUTH] = ["north", "south"].map((name) => model.createDataCentreId(name));
const [EU, US] = ["eu", "us"].map((name) => model.createRegionId(name));
assert.ok(NORTH !== undefined && SOUTH !== undefined && EU !== undefined && US !== undefined);
const REGIONS: placement.Regions = {
  byDataCentre: new Map([[NORTH, EU], [SOUTH, US]]),
  own: EU,
};

/** So long that no attempt counts as silent. */
const OBJECTIVE_MILLISECONDS = 4_000;

function createRoute(
  isIdempotent: boolean,
  changes: Partial<declarations.DeclaredRoute> = {},
): declarations.DeclaredRoute {
  return harness.createRoute({
    isIdempotent,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    timeoutMilliseconds: 10_000,
    ...changes,
  });
}

/** A VM with a request at its only target. */
interface Situation {
  readonly vm: harness.TestVm;
  readonly target: harness.TestTarget;
  readonly isIdempotent: boolean;
}

/** What happens while the request runs. */
interface Event {
  /** Makes it happen; returns what ends it before the test does. */
  readonly happen: (situation: Situation) => void | (() => void | Promise<void>);
  /** Statuses of a further request while it lasts. */
  readonly statuses: readonly number[];
  /** What the further requests differ in from the one that runs. */
  readonly further?: harness.CallerRequest;
  /** Time after which it is in force; shorter than `WORK_MILLISECONDS` if undefined. */
  readonly delayMilliseconds?: number;
}

function putDeclared(
  { vm }: Situation,
  changes: Partial<declarations.Declarations>,
): void {
  vm.store.declared = harness.createDeclarations(2, changes);
  vm.store.revision++;
}

function putRoute(
  situation: Situation,
  changes: Partial<declarations.DeclaredRoute>,
): void {
  putDeclared(situation, { routes: [createRoute(situation.isIdempotent, changes)] });
}

const EVENTS: Readonly<Record<string, Event>> = {
  "its target is withdrawn": {
    happen: ({ vm, target }) => vm.store.put(fixtures.createRemoval(target.id, 10)),
    statuses: [503],
  },
  "its target drains": {
    happen: ({ vm, target }) => vm.store.put(target.createChange(10, { isDraining: true })),
    statuses: [503],
  },
  "its target says that it leaves": {
    happen: ({ target }) => {
      target.behaviour = (request, response) => {
        const headers = { ...harness.createAnswerHeaders(request), [PROFILE.leaving]: "1" };
        response.writeHead(200, headers).end("leaving");
      };
    },
    statuses: [503],
  },
  "the store is restored without its target": {
    happen: ({ vm }) => vm.store.restore(new Map(), 1),
    statuses: [503],
    delayMilliseconds: HELD_MILLISECONDS,
  },
  "the store is restored to when its target had another address": {
    happen: ({ vm, target }) => {
      const change = target.createChange(1, { address: "127.0.0.1:1", startedAt: 1 });
      vm.store.restore(new Map([[target.id, change]]), 1);
    },
    statuses: [503],
  },
  "the store is restored to when its target drained": {
    happen: ({ vm, target }) => {
      const change = target.createChange(1, { isDraining: true });
      vm.store.restore(new Map([[target.id, change]]), 1);
    },
    statuses: [503],
  },
  "the store is restored to when its target belonged to another service": {
    happen: ({ vm, target }) => {
      const change = target.createChange(1, { service: model.createServiceId("other") });
      vm.store.restore(new Map([[target.id, change]]), 1);
    },
    statuses: [503],
  },
  "its target has another address": {
    happen: ({ vm, target }) =>
      vm.store.put(target.createChange(10, { address: "127.0.0.1:1", startedAt: 2 })),
    statuses: [503],
  },
  "its target belongs to another service": {
    happen: ({ vm, target }) =>
      vm.store.put(target.createChange(10, { service: model.createServiceId("other") })),
    statuses: [503],
  },
  "its target's data centre is evacuated": {
    happen: ({ vm }) => vm.store.evacuate("north"),
    statuses: [503],
  },
  "its route may not leave another region": {
    happen: (situation) => putRoute(situation, { homes: [US] }),
    statuses: [503],
  },
  "its route leads to another service": {
    happen: (situation) =>
      putRoute(situation, {
        destinations: [{ service: model.createServiceId("other"), weight: 1 }],
      }),
    statuses: [503],
  },
  "its route has a shorter timeout": {
    happen: (situation) => {
      putRoute(situation, { timeoutMilliseconds: LOWERED_TIMEOUT_MILLISECONDS });
      situation.target.behaviour = () => undefined;
    },
    statuses: [504],
    further: { headers: { [PROFILE.deadline]: "1000" } },
  },
  "its route has a shorter objective": {
    happen: (situation) => {
      putRoute(situation, { objectiveMilliseconds: 50, timeoutMilliseconds: 200 });
      situation.target.behaviour = () => undefined;
    },
    statuses: [504],
    further: { headers: { [PROFILE.deadline]: "1000" } },
  },
  "its route is removed": {
    happen: (situation) => putDeclared(situation, { routes: [] }),
    statuses: [404, 503],
  },
  "its route allows one attempt and no repetition": {
    happen: (situation) => {
      putRoute(situation, { attempts: 1, isIdempotent: false });
      situation.target.behaviour = ({ socket }) => socket.destroy();
    },
    statuses: [502],
  },
  "its key is withdrawn": {
    happen: (situation) => {
      const workspace = {
        id: model.createWorkspaceId("city"),
        keys: ["other"],
        priority: undefined,
        ratePerSecond: undefined,
        burst: 0,
      };
      putDeclared(situation, {
        routes: [createRoute(situation.isIdempotent)],
        workspaces: [workspace],
      });
    },
    statuses: [401, 503],
  },
  "bodies are limited to less than its own": {
    happen: (situation) =>
      putDeclared(situation, {
        routes: [createRoute(situation.isIdempotent)],
        limits: { ...harness.createDeclarations(2).limits, bodyBytes: 1 },
      }),
    statuses: [413],
  },
  "heads are limited to less than its own, and idle connections end at once": {
    happen: (situation) =>
      putDeclared(situation, {
        routes: [createRoute(situation.isIdempotent)],
        limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
      }),
    statuses: [431],
  },
  "its target fails all others": {
    happen: ({ target }) => {
      target.behaviour = (request, response) =>
        void response.writeHead(500, harness.createAnswerHeaders(request)).end();
    },
    statuses: [500],
  },
  "its target resets all others": {
    happen: ({ target }) => {
      target.behaviour = ({ socket }) => void socket.resetAndDestroy();
    },
    statuses: [502],
  },
  "its target refuses all others": {
    happen: ({ target }) => {
      target.behaviour = (request, response) => {
        const headers = { ...harness.createAnswerHeaders(request), [PROFILE.notRun]: "1" };
        response.writeHead(503, { ...headers, "Retry-After": "20" }).end();
      };
    },
    statuses: [503],
  },
  "the path to the targets is lost": {
    happen: ({ vm, target }) => partitions.startPartition([vm.host], [target], "hangs"),
    statuses: [503, 504],
  },
};

/** Sends further requests until they show that the event is in force. */
async function waitForEvent(vm: harness.TestVm, event: Event): Promise<void> {
  await testing.waitFor(
    async () => {
      const headers = { [PROFILE.deadline]: "250", ...event.further?.headers };
      const { status } = await vm.call({ body: "further", ...event.further, headers });
      return event.statuses.includes(status);
    },
    "the event is in force",
    WORK_MILLISECONDS + (event.delayMilliseconds ?? 0),
  );
}

/** Runs a test on a VM with one request that its target answers when it is told to. */
async function runDuring(event: Event, isIdempotent: boolean, stops: boolean): Promise<void> {
  const store = new harness.MemoryStore();
  const vm = new harness.TestVm({ name: "vm", store, seeds: [], regions: REGIONS });
  let stopped: Promise<void> | undefined;
  try {
    await vm.start(1, harness.createDeclarations(1, { routes: [createRoute(isIdempotent)] }));
    const [target] = vm.targets;
    assert.ok(target !== undefined);
    let respond: () => void = assert.fail;
    target.behaviour = (request, response) => {
      respond = () => harness.answerSuccess(request, response);
      target.behaviour = harness.answerSuccess;
    };
    let hasAnswer = false;
    const called = vm.call({
      body: "the one that runs",
      headers: { [PROFILE.requestId]: "running", [PROFILE.deadline]: "10000" },
    }).finally(() => hasAnswer = true);
    await harness.waitFor(() => target.requests.length === 1, "the request is passed on");
    const { delayMilliseconds } = event;
    if (stops && delayMilliseconds === undefined) {
      stopped = vm.stop();
    }
    const end = event.happen({ vm, target, isIdempotent });
    if (stops && delayMilliseconds !== undefined) {
      // The VM accepts further requests for 2.8 s only, in which the event has to come into force.
      await kernel.sleep(delayMilliseconds / 2);
      stopped = vm.stop();
    }
    await waitForEvent(vm, event);
    await kernel.sleep(LOWERED_TIMEOUT_MILLISECONDS);
    assert.equal(hasAnswer, false, "the event ends the attempt");
    respond();
    const answer = await called;
    assert.deepEqual([answer.status, answer.body, answer.isComplete], [200, "done", true]);
    const arrivals = target.requests.filter(({ headers }) =>
      headers[PROFILE.requestId] === "running"
    );
    assert.equal(arrivals.length, 1);
    await end?.();
  } finally {
    await (stopped ?? vm.stop());
  }
}

test.describe("a running attempt is given up", { concurrency: 4 }, () => {
  for (const [what, event] of Object.entries(EVENTS)) {
    for (const isIdempotent of [true, false]) {
      const kind = isIdempotent ? "idempotent" : "not idempotent";
      test.test(`since ${what} (${kind})`, async () => {
        await runDuring(event, isIdempotent, false);
      });
      test.test(`since ${what} while its VM stops (${kind})`, async () => {
        await runDuring(event, isIdempotent, true);
      });
    }
  }
});
