/**
 * Tests of the limit on requests to cold targets: over simulated fleets without a network, and on
 * VMs with real connections.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as proxy from "@hemlockwalk/proxy";
import * as fc from "fast-check";
import * as harness from "./harness.ts";

const SERVICE = model.createServiceId("desk");
const COLD_RATE = 3.3;

/** Most requests that a cold target may get in a second: `cold_excess` 1.5 and `cold_slack` 8. */
const BOUND = COLD_RATE * 1.5 + 8;

const STEP_MILLISECONDS = 25;
const HISTORY_MILLISECONDS = 20_000;

/** Time in which all VMs get requests after a time without any. */
const BUSY_MILLISECONDS = 500;

const DATA_CENTRES = ["north", "south", "east"].map((name) => model.createDataCentreId(name));

/** Members that a VM that has started learns of at a time. */
const MEMBERS_AT_A_TIME = 10;

const NO_TARGETS: ReadonlySet<model.TargetId> = new Set();

/** A VM whose mesh the test plays. */
class SimulatedVm {
  readonly identity: mesh.MemberIdentity;
  readonly directory = new declarations.TargetDirectory();
  readonly tracker: proxy.TargetTracker;
  /** Members as this VM knows them, itself included. */
  view: readonly mesh.MemberIdentity[];
  largestView = 1;
  readonly #sections = new Map<string, mesh.ReportSection>();

  constructor(name: string, dataCentre: model.DataCentreId) {
    this.identity = { vm: model.createVmId(name), dataCentre } as mesh.MemberIdentity;
    this.view = [this.identity];
    const simulated = {
      self: this.identity,
      listOthers: () => this.view.filter(({ vm }) => vm !== this.identity.vm),
      addSection: (name: string, section: mesh.ReportSection) => this.#sections.set(name, section),
      reportSoon: () => undefined,
    };
    this.tracker = new proxy.TargetTracker(
      this.directory,
      new declarations.Evacuations(),
      new placement.HomePolicy({ byDataCentre: new Map(), own: undefined }),
      simulated as unknown as mesh.Mesh,
      new kernel.ComponentLogger(kernel.createSilentLogger(), "targets"),
      new kernel.Metrics(),
      // As budgets do: a VM that knows no other one assumes a large fleet.
      () => this.view.length === 1 ? 1 / 50 : this.view.length / this.largestView,
      "127.0.0.1",
      () => COLD_RATE,
    );
  }

  /** Learns of the members that are in contact, and gets the report of one of them. */
  see(members: readonly SimulatedVm[], reporting: SimulatedVm | undefined): void {
    const known = new Set(this.view.map(({ vm }) => vm));
    const identities = members.map(({ identity }) => identity);
    const added = identities.filter(({ vm }) => !known.has(vm)).slice(0, MEMBERS_AT_A_TIME);
    this.view = [...identities.filter(({ vm }) => known.has(vm)), ...added];
    this.largestView = Math.max(this.largestView, this.view.length);
    this.tracker.dropDepartedVms();
    if (reporting !== undefined) {
      const report = reporting.#sections.get("fleet-size")?.collect(0);
      if (report !== undefined) {
        this.#sections.get("fleet-size")?.receive(reporting.identity, report);
      }
    }
  }

  /** Sends a request to each target that accepts one; returns these. */
  send(): { readonly target: model.TargetId; readonly token: placement.RateToken | undefined }[] {
    return this.tracker.listCandidates(SERVICE, NO_TARGETS, undefined).map(({ id }) => ({
      target: id,
      token: this.tracker.takeRate(id),
    }));
  }

  stop(): void {
    this.tracker.reachability.stop();
  }
}

/** What happens in a simulated fleet, each at a time in milliseconds from the start. */
interface World {
  readonly vms: number;
  readonly seed: number;
  /** Longest delay until a VM learns of a change. */
  readonly delayMilliseconds: number;
  /** Times at which an entry renews the cold time, and for how long. */
  readonly renewals: readonly { readonly at: number; readonly coldMilliseconds: number }[];
  /** Time at which the fleet falls into parts, and their number. */
  readonly cutAt: number;
  readonly parts: number;
  readonly healAt: number;
  /** A VM is replaced by a new one after each interval. */
  readonly replaceMilliseconds: number;
  /** VMs get requests for a time after each interval of this length, and none otherwise. */
  readonly idleMilliseconds: number;
  /** Share of the requests that turn out not to be sent, whose tokens are returned. */
  readonly withdrawnShare: number;
}

interface Arrival {
  readonly at: number;
  readonly vm: string;
}

/** Plays a history; returns the arrivals at the target while it was cold and its senders knew it. */
async function play(world: World): Promise<readonly Arrival[]> {
  const clock = new kernelTesting.TestClock();
  const random = createRandom(world.seed);
  const arrivals: Arrival[] = [];
  const fleet: SimulatedVm[] = [];
  const known = new Map<SimulatedVm, number>();
  let created = 0;
  const start = (index: number) => {
    const place = DATA_CENTRES[index % DATA_CENTRES.length] ?? assert.fail();
    fleet[index]?.stop();
    fleet[index] = new SimulatedVm(`vm-${created++}`, place);
  };
  try {
    for (let index = 0; index < world.vms; index++) {
      start(index);
    }
    let coldUntil = 0;
    let latest: declarations.TargetChange | undefined;
    let writtenAt = 0;
    for (let at = 0; at < HISTORY_MILLISECONDS; at += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
      const renewal = world.renewals.find((one) => one.at >= at && one.at < at + STEP_MILLISECONDS);
      if (renewal !== undefined) {
        latest = fixtures.createChange("cold", at + 2, {
          warmUpMilliseconds: renewal.coldMilliseconds,
        });
        coldUntil = at + renewal.coldMilliseconds;
        writtenAt = at;
      }
      if (at > 0 && at % world.replaceMilliseconds === 0) {
        start(Math.floor(random() * world.vms));
      }
      const isCut = at >= world.cutAt && at < world.healAt;
      for (const [index, vm] of fleet.entries()) {
        // A VM learns of a change after a random time of at most the longest delay.
        const isDue = random() < 2 * STEP_MILLISECONDS / world.delayMilliseconds;
        if (isDue) {
          const part = fleet.filter((_, other) =>
            !isCut || other % world.parts === index % world.parts
          );
          vm.see(part, part[Math.floor(random() * part.length)]);
        }
        const isLate = at - writtenAt >= world.delayMilliseconds;
        if (latest !== undefined && (isDue || isLate) && known.get(vm) !== writtenAt) {
          vm.directory.apply(latest);
          known.set(vm, writtenAt);
        }
        const isIdle = at % world.idleMilliseconds >= BUSY_MILLISECONDS;
        for (const { target, token } of isIdle ? [] : vm.send()) {
          if (random() < world.withdrawnShare) {
            vm.tracker.returnRate(target, token);
            vm.tracker.returnRate(target, token);
          } else if (at < coldUntil && known.get(vm) === writtenAt) {
            arrivals.push({ at, vm: vm.identity.vm });
          }
        }
      }
    }
    return arrivals;
  } finally {
    fleet.forEach((vm) => vm.stop());
    clock.restore();
  }
}

function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

function findBusiestSecond(arrivals: readonly Arrival[]): number {
  return arrivals.reduce((most, { at: from }) => {
    const count = arrivals.filter(({ at }) => at >= from && at < from + 1_000).length;
    return Math.max(most, count);
  }, 0);
}

const QUIET: World = {
  vms: 30,
  seed: 1,
  delayMilliseconds: 500,
  renewals: [{ at: 2_000, coldMilliseconds: 9_000 }],
  cutAt: HISTORY_MILLISECONDS,
  parts: 1,
  healAt: HISTORY_MILLISECONDS,
  replaceMilliseconds: HISTORY_MILLISECONDS,
  idleMilliseconds: BUSY_MILLISECONDS,
  withdrawnShare: 0,
};

test.describe("cold targets of a simulated fleet", () => {
  test.test("a cold target gets more in a second than it can handle", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          vms: fc.integer({ min: 1, max: 40 }),
          seed: fc.integer({ min: 1, max: 1_000_000 }),
          delayMilliseconds: fc.constantFrom(100, 500, 1_000),
          renewals: fc.array(
            fc.record({
              at: fc.integer({ min: 0, max: 18_000 }),
              coldMilliseconds: fc.integer({ min: 200, max: 18_000 }),
            }),
            { minLength: 1, maxLength: 6 },
          ).map((renewals) => renewals.toSorted((left, right) => left.at - right.at)),
          // VMs that have never heard of the rest of their fleet cannot know that there is one.
          cutAt: fc.integer({ min: 2_000, max: 10_000 }),
          parts: fc.constantFrom(1, 2, 3, 5, 40),
          healAt: fc.integer({ min: 4_000, max: HISTORY_MILLISECONDS }),
          replaceMilliseconds: fc.constantFrom(200, 700, 2_500, HISTORY_MILLISECONDS),
          idleMilliseconds: fc.constantFrom(BUSY_MILLISECONDS, 2_000, 5_000),
          withdrawnShare: fc.constantFrom(0, 0.2, 0.6),
        }),
        async (world) => {
          const busiest = findBusiestSecond(await play(world));
          assert.ok(busiest <= BOUND, `${busiest} requests in a second, ${BOUND} allowed`);
        },
      ),
      kernelTesting.getRandomRuns(305, 12),
    );
  });

  test.test("a fleet that has fallen into many parts sends a full share from each of them", async () => {
    // The parts exist before the target turns cold, so that each has its own holders with tokens.
    const arrivals = await play({
      ...QUIET,
      vms: 40,
      cutAt: 4_000,
      parts: 5,
      renewals: [{ at: 1_500, coldMilliseconds: 18_500 }],
      idleMilliseconds: 5_000,
    });
    assert.ok(findBusiestSecond(arrivals) <= BOUND);
  });

  test.test("VMs that start together each take themselves for the whole fleet", async () => {
    const arrivals = await play({
      ...QUIET,
      delayMilliseconds: 1_000,
      vms: 40,
      renewals: [{ at: 0, coldMilliseconds: 10_000 }],
      idleMilliseconds: 1_000,
    });
    assert.ok(findBusiestSecond(arrivals) <= BOUND);
  });

  test.test("a cold target of a fleet in contact is starved", async () => {
    const arrivals = (await play(QUIET)).filter(({ at }) => at >= 3_000 && at < 10_000);
    assert.ok(arrivals.length >= COLD_RATE * 7 * 0.8, `${arrivals.length} requests in 7 s`);
    const gaps = arrivals.slice(1).map(({ at }, index) => at - (arrivals[index]?.at ?? 0));
    assert.ok(Math.max(...gaps) < 1_500, "its requests are spread");
  });

  test.test("tokens of requests that were not sent are lost, or returned twice", async () => {
    const sent = (await play({ ...QUIET, withdrawnShare: 0.6 })).filter(({ at }) => at >= 3_000);
    assert.ok(sent.length >= COLD_RATE * 7 * 0.8, `${sent.length} requests`);
    assert.ok(findBusiestSecond(sent) <= BOUND);
  });
});

test.describe("the limit of a target", () => {
  test.test("a request that was placed while its target was warm is sent when it has turned cold", async () => {
    const clock = new kernelTesting.TestClock();
    const vm = new SimulatedVm("vm", DATA_CENTRES[0] ?? assert.fail());
    try {
      vm.directory.apply(fixtures.createChange("a", 1));
      await clock.advance(6_000);
      const [sent] = vm.send();
      const target = vm.tracker.findTarget(model.createTargetId("a")) ?? assert.fail();
      assert.equal(vm.tracker.accepts(target, sent?.token), true);
      vm.directory.apply(fixtures.createChange("a", 2, { warmUpMilliseconds: 3_000 }));
      assert.equal(vm.tracker.accepts(target, sent?.token), false);
      await clock.advance(3_000);
      assert.equal(vm.tracker.accepts(target, sent?.token), true, "it is warm");
    } finally {
      vm.stop();
      clock.restore();
    }
  });

  test.test("a VM without a part of a cold target's rate cannot say when it will accept a request", async () => {
    const clock = new kernelTesting.TestClock();
    const vm = new SimulatedVm("vm", DATA_CENTRES[0] ?? assert.fail());
    try {
      vm.directory.apply(fixtures.createChange("a", 1, { warmUpMilliseconds: 3_000 }));
      await clock.advance(1_000);
      assert.deepEqual(vm.tracker.listCandidates(SERVICE, NO_TARGETS, undefined), []);
      assert.deepEqual(
        vm.tracker.findShortestWait(SERVICE, NO_TARGETS, undefined),
        { milliseconds: 2_000, isPause: false },
      );
    } finally {
      vm.stop();
      clock.restore();
    }
  });
});

/** Time after which a VM without others uses its part of a rate. */
const ALONE_MILLISECONDS = 2_600;

/** Time for which targets of the tests are cold, longer than any test runs. */
const LONG_COLD_MILLISECONDS = 60_000;

/** Far less than half of the objective of 500 ms, for which requests may wait. */
const MAX_REFUSAL_MILLISECONDS = 200;

function createColdDeclarations(): declarations.Declarations {
  return harness.createDeclarations(1, {
    routes: [
      harness.createRoute(),
      harness.createRoute({
        id: model.createRouteId("reads"),
        pathPrefix: "/reads/",
        isIdempotent: true,
      }),
    ],
    services: [{ id: SERVICE, connectionsPerTarget: 100, coldRequestsPerSecond: COLD_RATE }],
  });
}

/** Announces all targets of a VM as cold or warm. */
async function announce(vm: harness.TestVm, cold: readonly harness.TestTarget[]): Promise<void> {
  for (const target of vm.targets) {
    const warmUpMilliseconds = cold.includes(target) ? LONG_COLD_MILLISECONDS : 0;
    vm.store.put(target.createChange(vm.store.revision + 1, { warmUpMilliseconds }));
  }
  await kernel.sleep(700);
}

/** Records the times at which requests arrive at each target, which responds after a time. */
function recordArrivals(
  targets: readonly harness.TestTarget[],
  milliseconds: number,
): Map<harness.TestTarget, Arrival[]> {
  const arrivals = new Map(targets.map((target): [harness.TestTarget, Arrival[]] => [target, []]));
  for (const target of targets) {
    target.behaviour = (request, response) => {
      arrivals.get(target)?.push({ at: performance.now(), vm: "" });
      setTimeout(() => harness.answerSuccess(request, response), milliseconds);
    };
  }
  return arrivals;
}

test.describe("a herd of cold targets", { concurrency: 4 }, () => {
  test.test("cold targets get no work beside warm ones, or more than they can handle", async () => {
    await harness.withVm(3, async (vm) => {
      const [warm, ...cold] = vm.targets;
      assert.ok(warm !== undefined);
      await announce(vm, cold);
      await kernel.sleep(ALONE_MILLISECONDS);
      const arrivals = recordArrivals(vm.targets, 150);
      const calls: Promise<harness.CallerAnswer>[] = [];
      // Idempotent requests probe as well; probes count towards the rate.
      const startedAt = performance.now();
      for (let round = 0; performance.now() < startedAt + 4_000; round++) {
        calls.push(vm.call(round % 2 === 0 ? {} : { method: "GET", path: "/reads/1" }));
        await kernel.sleep(25);
      }
      const answers = await Promise.all(calls);
      for (const target of cold) {
        const times = arrivals.get(target) ?? [];
        const busiest = findBusiestSecond(times);
        assert.ok(busiest <= BOUND, `${busiest} requests in a second`);
        assert.ok(times.length >= COLD_RATE * 4 * 0.6, `${times.length} requests in 4 s`);
      }
      assert.ok(answers.every(({ status }) => status === 200 || status === 503));
      const served = answers.filter(({ status }) => status === 200).length;
      assert.ok((arrivals.get(warm)?.length ?? 0) > served / 2, "warm targets take the rest");
    }, createColdDeclarations());
  });

  test.test("requests wait in vain, or come back too early, while only cold targets are left", async () => {
    await harness.withVm(2, async (vm) => {
      await announce(vm, vm.targets);
      await kernel.sleep(ALONE_MILLISECONDS);
      recordArrivals(vm.targets, 20);
      // Alone, so that the time for which other calls are started in this process is not counted.
      const startedAt = performance.now();
      const first = await vm.call();
      const milliseconds = performance.now() - startedAt;
      assert.equal(first.status, 503);
      assert.ok(milliseconds < MAX_REFUSAL_MILLISECONDS, `refused after ${milliseconds} ms`);
      const herd = await Promise.all(Array.from({ length: 30 }, () => vm.call()));
      const refused = [first, ...herd.filter(({ status }) => status === 503)];
      assert.ok(refused.length >= 20, `${refused.length} refused`);
      const traces = vm.log.filter(({ outcome }) => outcome === "targets_limited");
      assert.equal(traces.length, refused.length, "one trace for each refused request");
      for (const answer of refused) {
        assert.match(answer.body, /targets_limited/);
      }
      for (const trace of traces) {
        const steps = JSON.parse(String(trace.steps)) as {
          readonly at: number;
          readonly step: string;
        }[];
        const refusedAfter = steps.at(-1)?.at ?? Number.POSITIVE_INFINITY;
        assert.ok(refusedAfter < MAX_REFUSAL_MILLISECONDS, `late: ${String(trace.steps)}`);
      }
      const retryAfter = Math.max(
        ...refused.map(({ headers }) => Number(headers["retry-after"])),
      );
      assert.ok(retryAfter > 0 && retryAfter <= 2, `Retry-After ${retryAfter}`);
      await kernel.sleep(retryAfter * 1_000);
      assert.equal((await vm.call()).status, 200);
    }, createColdDeclarations());
  });
});
