/**
 * Tests of the shared bucket against the bound of one token bucket that sees every admission of
 * every VM.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const STEP_MILLISECONDS = 50;

/**
 * Steps after which a VM's counters reach the others: a tick and two relays, or an urgent report.
 */
const DELAY_STEPS = 4;
const URGENT_DELAY_STEPS = 1;

/** The propagation delay that the mesh reports: its interval and two ticks. */
const PROPAGATION_MILLISECONDS = 300;

interface World {
  readonly vms: number;
  readonly rate: number;
  readonly burst: number;
  /** Requests a second of all VMs together. */
  readonly demand: number;
  readonly seconds: number;
  /** Share of the demand that arrives at the first VM. */
  readonly skew: number;
  readonly seed: number;
  /** The VMs are replaced in turn, one in each interval of this length; none if undefined. */
  readonly replaceMilliseconds?: number;
  /** Between these times the two halves of the fleet receive nothing from each other. */
  readonly partitionMilliseconds?: readonly [from: number, to: number];
  /** Between these times the first VMs are each cut off, as if their relay stood still. */
  readonly cutOffMilliseconds?: readonly [from: number, to: number];
  readonly cutOffVms?: number;
  /** Part of the tolerated excess that is used; none if undefined. */
  readonly allowance?: number;
}

/** Time after which a VM that is cut off notices it. */
const CONTACT_MILLISECONDS = 800;

/** One VM of the simulated fleet. */
interface SimulatedVm {
  bucket: placement.SharedBucket;
  incarnation: number;
  startedAtStep: number;
}

interface SimulationResult {
  readonly admittedAt: readonly number[];
  readonly requested: number;
}

/** Simulates a fleet on a test clock; counters arrive with a delay. */
async function simulate(world: World, clock: testing.TestClock): Promise<SimulationResult> {
  const random = randoms.createRandom(world.seed);
  const fleet = Array.from({ length: world.vms }, (): SimulatedVm => ({
    bucket: new placement.SharedBucket(world.burst, world.burst, world.allowance ?? 0),
    incarnation: 1,
    startedAtStep: 0,
  }));
  let inTransit: {
    at: number;
    from: number;
    sequence: number;
    incarnation: number;
    counters: placement.BucketCounters;
  }[] = [];
  const admittedAt: number[] = [];
  let requested = 0;
  const steps = world.seconds * 1_000 / STEP_MILLISECONDS;
  let sequence = 0;
  const send = ({ bucket, incarnation }: SimulatedVm, from: number, at: number) => {
    const counters = bucket.collect(++sequence);
    if (counters !== undefined) {
      inTransit.push({ at, from, sequence, incarnation, counters });
    }
  };
  const isCutOff = (index: number, step: number) =>
    index < (world.cutOffVms ?? 0) && isWithin(world.cutOffMilliseconds, step);
  const isCutOffNoticed = (index: number, step: number) =>
    isCutOff(index, step) && isCutOff(index, step - CONTACT_MILLISECONDS / STEP_MILLISECONDS);
  for (let step = 0; step < steps; step++) {
    await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
    const isPartitioned = isWithin(world.partitionMilliseconds, step);
    const presence = {
      present: isPartitioned ? world.vms / 2 : world.vms,
      expected: world.vms,
      propagationMilliseconds: PROPAGATION_MILLISECONDS,
    };
    replaceOne(fleet, world, step);
    fleet.forEach(({ bucket }, index) => {
      const present = isCutOffNoticed(index, step) ? 1 : presence.present;
      bucket.refill(world.rate * STEP_MILLISECONDS / 1_000, { ...presence, present });
    });
    const expected = world.demand * STEP_MILLISECONDS / 1_000;
    const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let arrival = 0; arrival < arrivals; arrival++) {
      const index = random() < world.skew ? 0 : Math.floor(random() * world.vms);
      requested++;
      const vm = fleet[index] ?? assert.fail();
      if (vm.bucket.take()) {
        admittedAt.push(step * STEP_MILLISECONDS);
      }
      if (vm.bucket.isUrgent) {
        send(vm, index, step + URGENT_DELAY_STEPS);
      }
    }
    fleet.forEach((vm, from) => send(vm, from, step + DELAY_STEPS));
    const due = inTransit.filter((message) => message.at <= step);
    inTransit = inTransit.filter((message) => message.at > step);
    for (const { from, sequence: reported, incarnation, counters } of due) {
      if (isCutOff(from, step)) {
        continue;
      }
      fleet[from]?.bucket.confirm(reported);
      fleet.forEach((vm, to) => {
        const isBetweenHalves = (from < world.vms / 2) !== (to < world.vms / 2);
        if (to !== from && !isCutOff(to, step) && !(isPartitioned && isBetweenHalves)) {
          const age = step - (fleet[from]?.startedAtStep ?? 0);
          const trackedShare = Math.min(1, (step - vm.startedAtStep) / Math.max(age, 1));
          const contactSince = findContactSince(isBetweenHalves, [from, to], world, step);
          vm.bucket.receive(
            `vm-${from}`,
            String(incarnation),
            counters,
            trackedShare,
            contactSince + clock.monotonicMilliseconds - step * STEP_MILLISECONDS,
          );
        }
      });
    }
  }
  return { admittedAt, requested };
}

/** Time at which two VMs came into contact again; negative infinity if they were not out of it. */
function findContactSince(
  isBetweenHalves: boolean,
  pair: readonly number[],
  world: World,
  step: number,
): number {
  const isCutOff = pair.some((index) => index < (world.cutOffVms ?? 0));
  const ends = [
    ...(isBetweenHalves ? [world.partitionMilliseconds?.[1]] : []),
    ...(isCutOff ? [world.cutOffMilliseconds?.[1]] : []),
  ];
  return Math.max(
    Number.NEGATIVE_INFINITY,
    ...ends.filter((end) => end !== undefined && end <= step * STEP_MILLISECONDS) as number[],
  );
}

function isWithin(span: readonly [from: number, to: number] | undefined, step: number): boolean {
  const [from, to] = span ?? [0, 0];
  return step * STEP_MILLISECONDS >= from && step * STEP_MILLISECONDS < to;
}

/** Replaces the VM whose turn it is by one that adopts its neighbour's level. */
function replaceOne(fleet: readonly SimulatedVm[], world: World, step: number): void {
  const at = step * STEP_MILLISECONDS;
  if (world.replaceMilliseconds === undefined || step === 0 || at % world.replaceMilliseconds > 0) {
    return;
  }
  const index = at / world.replaceMilliseconds % world.vms;
  const vm = fleet[index] ?? assert.fail();
  const neighbour = fleet[(index + 1) % world.vms] ?? assert.fail();
  vm.bucket = new placement.SharedBucket(world.burst, 0, 0);
  vm.bucket.adoptLevel(neighbour.bucket.level);
  vm.incarnation++;
  vm.startedAtStep = step;
}

/** The most admissions within any window. */
function countBusiestWindow(admittedAt: readonly number[], windowMilliseconds: number): number {
  let most = 0;
  let first = 0;
  admittedAt.forEach((at, index) => {
    while ((admittedAt[first] ?? at) <= at - windowMilliseconds) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

async function withClock(run: (clock: testing.TestClock) => Promise<void>): Promise<void> {
  const clock = new testing.TestClock();
  try {
    await run(clock);
  } finally {
    clock.restore();
  }
}

test.describe("shared bucket", () => {
  test.test("all VMs together keep to rate and burst within the tolerated excess", async () => {
    const runs = testing.getRandomRuns(202, 25);
    await withClock(async (clock) => {
      await fc.assert(
        fc.asyncProperty(
          fc.record({
            vms: fc.integer({ min: 1, max: 40 }),
            rate: fc.integer({ min: 1, max: 60 }),
            burst: fc.integer({ min: 2, max: 60 }),
            demand: fc.integer({ min: 1, max: 400 }),
            seconds: fc.constant(12),
            skew: fc.constantFrom(0, 0.2, 0.9),
            seed: fc.nat(),
          }),
          async (world) => {
            const { admittedAt } = await simulate(world, clock);
            const bound = (world.rate * 5 + world.burst) * 1.25 + 20;
            const most = countBusiestWindow(admittedAt, 5_000);
            assert.ok(most <= bound, `${most} admitted in 5 s, at most ${bound} are allowed`);
          },
        ),
        runs,
      );
    });
  });

  test.test("a workspace well within its rate is not refused", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 40, burst: 40, demand: 25, seconds: 20, skew: 0.1, seed: 5 };
      const { admittedAt, requested } = await simulate(world, clock);
      assert.equal(requested - admittedAt.length, 0);
    });
  });

  test.test("a workspace far beyond its rate still gets nearly its full rate", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 40, burst: 40, demand: 300, seconds: 20, skew: 0, seed: 6 };
      const { admittedAt } = await simulate(world, clock);
      const allowed = world.rate * world.seconds + world.burst;
      assert.ok(admittedAt.length >= allowed * 0.9, `${admittedAt.length} of ${allowed}`);
    });
  });

  test.test("a workspace well within its rate is not refused while VMs are replaced", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 67, burst: 67, demand: 40, seconds: 30, skew: 0, seed: 8 };
      const { admittedAt, requested } = await simulate(
        { ...world, replaceMilliseconds: 1_000 },
        clock,
      );
      assert.equal(requested - admittedAt.length, 0);
    });
  });

  test.test("VMs that are replaced still enforce the rate of a workspace far beyond it", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 20, burst: 20, demand: 200, seconds: 20, skew: 0, seed: 9 };
      const { admittedAt } = await simulate({ ...world, replaceMilliseconds: 500 }, clock);
      const bound = (world.rate * 5 + world.burst) * 1.25 + 20;
      const most = countBusiestWindow(admittedAt, 5_000);
      assert.ok(most <= bound, `${most} admitted in 5 s, at most ${bound} are allowed`);
    });
  });

  test.test("a workspace well within its rate is not refused when a partition heals", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 40, burst: 40, demand: 30, seconds: 20, skew: 0, seed: 10 };
      const { admittedAt, requested } = await simulate(
        { ...world, partitionMilliseconds: [4_000, 14_000] },
        clock,
      );
      assert.equal(requested - admittedAt.length, 0);
    });
  });

  test.test("VMs that are cut off and do not notice it do not each spend the whole bucket", async () => {
    const runs = testing.getRandomRuns(203, 25);
    await withClock(async (clock) => {
      await fc.assert(
        fc.asyncProperty(
          fc.record({
            vms: fc.integer({ min: 3, max: 36 }),
            rate: fc.integer({ min: 10, max: 40 }),
            burst: fc.integer({ min: 10, max: 40 }),
            demand: fc.integer({ min: 100, max: 400 }),
            seconds: fc.constant(10),
            skew: fc.constantFrom(0, 0.2),
            seed: fc.nat(),
          }),
          async (drawn) => {
            const perWindow = drawn.rate * 5 + drawn.burst;
            const excess = perWindow * 0.25 + 20;
            const { admittedAt } = await simulate({
              ...drawn,
              allowance: 0.4 * excess,
              // A data centre of three whose relay stands still.
              cutOffVms: Math.floor(drawn.vms / 3),
              cutOffMilliseconds: [0, 2_000],
            }, clock);
            const most = countBusiestWindow(admittedAt, 5_000);
            const bound = perWindow + excess;
            assert.ok(most <= bound, `${most} admitted in 5 s, at most ${bound} are allowed`);
          },
        ),
        runs,
      );
    });
  });

  test.test("VMs that are out of contact keep their share", () => {
    const isolated = new placement.SharedBucket(40, 0, 0);
    for (let step = 0; step < 100; step++) {
      isolated.refill(1, {
        present: 1,
        expected: 40,
        propagationMilliseconds: PROPAGATION_MILLISECONDS,
      });
    }
    assert.ok(isolated.level <= 2.5 + 1e-9, `level ${isolated.level}`);
  });

  // Guards against tokens of VMs in contact that are not counted while others are out of contact.
  test.test("withheld tokens cover only what VMs took out of contact", async () => {
    await withClock(async (clock) => {
      const pressure = new placement.RatePressure({ excess: 100 });
      const bucket = new placement.SharedBucket(40, 40, 0, pressure);
      const presence = { expected: 4, propagationMilliseconds: PROPAGATION_MILLISECONDS };
      const refill = async (present: number, seconds: number) => {
        for (let step = 0; step < seconds * 10; step++) {
          await clock.advance(100, 100);
          bucket.refill(4, { ...presence, present });
        }
      };
      await refill(4, 1);
      bucket.receive("near", "1", { taken: 0, requested: 1 }, 1);
      bucket.receive("far", "1", { taken: 0, requested: 1 }, 1);
      await refill(2, 10);
      assert.equal(bucket.level, 20, "the parts share the burst");
      bucket.receive("near", "1", { taken: 15, requested: 16 }, 1);
      assert.equal(bucket.level, 5);
      const contactSince = clock.monotonicMilliseconds;
      bucket.receive("far", "1", { taken: 150, requested: 151 }, 1, contactSince);
      assert.equal(bucket.level, 5);
      await refill(4, 5);
      bucket.receive("far", "1", { taken: 160, requested: 161 }, 1, contactSince);
      assert.equal(bucket.level, 30);
    });
  });

  test.test("the counters of a VM's new incarnation start from zero", () => {
    const bucket = new placement.SharedBucket(100, 100, 0);
    bucket.receive("vm", "1", { taken: 30, requested: 30 }, 1);
    bucket.receive("vm", "1", { taken: 40, requested: 40 }, 1);
    bucket.receive("vm", "2", { taken: 5, requested: 5 }, 1);
    assert.equal(bucket.level, 55);
  });
});
