/**
 * Tests of the shared bucket against one token bucket that sees every admission of every VM.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const STEP_MILLISECONDS = 50;

/** Steps after which a VM's counters reach the others: a tick and two relays, or at once. */
const DELAY_STEPS = 4;
const URGENT_DELAY_STEPS = 1;

/** What the mesh states for it: its interval and two ticks. */
const NEWS_MILLISECONDS = 300;

interface World {
  readonly vms: number;
  readonly rate: number;
  readonly burst: number;
  /** Requests a second over all VMs. */
  readonly demand: number;
  readonly seconds: number;
  /** Share of the demand that enters the first VM. */
  readonly skew: number;
  readonly seed: number;
  /** One VM after the other is replaced in this interval; none without it. */
  readonly replaceMilliseconds?: number;
  /** Between these times the first half of the fleet hears nothing of the second half. */
  readonly cutMilliseconds?: readonly [from: number, to: number];
}

/** One VM of the played fleet. */
interface PlayedVm {
  bucket: placement.SharedBucket;
  life: number;
  startedAtStep: number;
}

interface Played {
  readonly admittedAt: readonly number[];
  readonly asked: number;
}

/** Plays a fleet on a paused clock; counters travel with a delay. */
async function play(world: World, clock: testing.TestClock): Promise<Played> {
  const random = randoms.createRandom(world.seed);
  const fleet = Array.from({ length: world.vms }, (): PlayedVm => ({
    bucket: new placement.SharedBucket(world.burst, world.burst, 0),
    life: 1,
    startedAtStep: 0,
  }));
  let underWay: { at: number; from: number; life: number; counters: placement.BucketCounters }[] =
    [];
  const admittedAt: number[] = [];
  let asked = 0;
  const steps = world.seconds * 1_000 / STEP_MILLISECONDS;
  const send = ({ bucket, life }: PlayedVm, from: number, at: number) => {
    const counters = bucket.collect();
    if (counters !== undefined) {
      underWay.push({ at, from, life, counters });
    }
  };
  for (let step = 0; step < steps; step++) {
    await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
    const isCut = isCutAt(world, step);
    const presence = {
      present: isCut ? world.vms / 2 : world.vms,
      expected: world.vms,
      newsMilliseconds: NEWS_MILLISECONDS,
    };
    replaceOne(fleet, world, step);
    fleet.forEach(({ bucket }) => bucket.refill(world.rate * STEP_MILLISECONDS / 1_000, presence));
    const expected = world.demand * STEP_MILLISECONDS / 1_000;
    const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let arrival = 0; arrival < arrivals; arrival++) {
      const index = random() < world.skew ? 0 : Math.floor(random() * world.vms);
      asked++;
      const vm = fleet[index] ?? assert.fail();
      if (vm.bucket.take()) {
        admittedAt.push(step * STEP_MILLISECONDS);
      }
      if (vm.bucket.isUrgent) {
        send(vm, index, step + URGENT_DELAY_STEPS);
      }
    }
    fleet.forEach((vm, from) => send(vm, from, step + DELAY_STEPS));
    const due = underWay.filter((message) => message.at <= step);
    underWay = underWay.filter((message) => message.at > step);
    for (const { from, life, counters } of due) {
      fleet.forEach((vm, to) => {
        const isBetweenHalves = (from < world.vms / 2) !== (to < world.vms / 2);
        if (to !== from && !(isCut && isBetweenHalves)) {
          const age = step - (fleet[from]?.startedAtStep ?? 0);
          const followed = Math.min(1, (step - vm.startedAtStep) / Math.max(age, 1));
          vm.bucket.receive(`vm-${from}`, String(life), counters, followed);
        }
      });
    }
  }
  return { admittedAt, asked };
}

function isCutAt(world: World, step: number): boolean {
  const [from, to] = world.cutMilliseconds ?? [0, 0];
  return step * STEP_MILLISECONDS >= from && step * STEP_MILLISECONDS < to;
}

/** Replaces the VM whose turn it is by one that takes the level from its neighbour. */
function replaceOne(fleet: readonly PlayedVm[], world: World, step: number): void {
  const at = step * STEP_MILLISECONDS;
  if (world.replaceMilliseconds === undefined || step === 0 || at % world.replaceMilliseconds > 0) {
    return;
  }
  const index = at / world.replaceMilliseconds % world.vms;
  const vm = fleet[index] ?? assert.fail();
  const neighbour = fleet[(index + 1) % world.vms] ?? assert.fail();
  vm.bucket = new placement.SharedBucket(world.burst, 0, 0);
  vm.bucket.adoptLevel(neighbour.bucket.level);
  vm.life++;
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
            const { admittedAt } = await play(world, clock);
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
      const { admittedAt, asked } = await play(world, clock);
      assert.equal(asked - admittedAt.length, 0);
    });
  });

  test.test("a workspace far beyond its rate still gets nearly all of it", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 40, burst: 40, demand: 300, seconds: 20, skew: 0, seed: 6 };
      const { admittedAt } = await play(world, clock);
      const allowed = world.rate * world.seconds + world.burst;
      assert.ok(admittedAt.length >= allowed * 0.9, `${admittedAt.length} of ${allowed}`);
    });
  });

  test.test("a workspace well within its rate is not refused while VMs are replaced", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 67, burst: 67, demand: 40, seconds: 30, skew: 0, seed: 8 };
      const { admittedAt, asked } = await play({ ...world, replaceMilliseconds: 1_000 }, clock);
      assert.equal(asked - admittedAt.length, 0);
    });
  });

  test.test("VMs that are replaced keep a workspace far beyond its rate to it", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 20, burst: 20, demand: 200, seconds: 20, skew: 0, seed: 9 };
      const { admittedAt } = await play({ ...world, replaceMilliseconds: 500 }, clock);
      const bound = (world.rate * 5 + world.burst) * 1.25 + 20;
      const most = countBusiestWindow(admittedAt, 5_000);
      assert.ok(most <= bound, `${most} admitted in 5 s, at most ${bound} are allowed`);
    });
  });

  test.test("a workspace well within its rate is not refused when a partition heals", async () => {
    await withClock(async (clock) => {
      const world = { vms: 32, rate: 40, burst: 40, demand: 30, seconds: 20, skew: 0, seed: 10 };
      const { admittedAt, asked } = await play(
        { ...world, cutMilliseconds: [4_000, 14_000] },
        clock,
      );
      assert.equal(asked - admittedAt.length, 0);
    });
  });

  test.test("VMs that are not heard keep their share", () => {
    const cut = new placement.SharedBucket(40, 0, 0);
    for (let step = 0; step < 100; step++) {
      cut.refill(1, { present: 1, expected: 40, newsMilliseconds: NEWS_MILLISECONDS });
    }
    assert.ok(cut.level <= 2.5 + 1e-9, `level ${cut.level}`);
  });

  test.test("a VM's new life begins to count anew", () => {
    const bucket = new placement.SharedBucket(100, 100, 0);
    bucket.receive("vm", "1", { taken: 30, asked: 30 }, 1);
    bucket.receive("vm", "1", { taken: 40, asked: 40 }, 1);
    bucket.receive("vm", "2", { taken: 5, asked: 5 }, 1);
    assert.equal(bucket.level, 55);
  });
});
