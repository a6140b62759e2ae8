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
}

interface Played {
  readonly admittedAt: readonly number[];
  readonly asked: number;
}

/** Plays a fleet on a paused clock; counters travel with a delay. */
async function play(world: World, clock: testing.TestClock): Promise<Played> {
  const random = randoms.createRandom(world.seed);
  const presence = {
    present: world.vms,
    expected: world.vms,
    newsMilliseconds: NEWS_MILLISECONDS,
  };
  const buckets = Array.from(
    { length: world.vms },
    () => new placement.SharedBucket(world.burst, world.burst, 0),
  );
  const underWay: { at: number; from: number; counters: placement.BucketCounters }[] = [];
  const admittedAt: number[] = [];
  let asked = 0;
  const steps = world.seconds * 1_000 / STEP_MILLISECONDS;
  const send = (bucket: placement.SharedBucket, from: number, at: number) => {
    const counters = bucket.collect();
    if (counters !== undefined) {
      underWay.push({ at, from, counters });
    }
  };
  for (let step = 0; step < steps; step++) {
    await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
    buckets.forEach((bucket) => bucket.refill(world.rate * STEP_MILLISECONDS / 1_000, presence));
    const expected = world.demand * STEP_MILLISECONDS / 1_000;
    const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let arrival = 0; arrival < arrivals; arrival++) {
      const index = random() < world.skew ? 0 : Math.floor(random() * world.vms);
      asked++;
      const bucket = buckets[index] ?? assert.fail();
      if (bucket.take()) {
        admittedAt.push(step * STEP_MILLISECONDS);
      }
      if (bucket.isUrgent) {
        send(bucket, index, step + URGENT_DELAY_STEPS);
      }
    }
    buckets.forEach((bucket, from) => send(bucket, from, step + DELAY_STEPS));
    const due = underWay.filter((message) => message.at <= step);
    underWay.splice(0, underWay.length, ...underWay.filter((message) => message.at > step));
    for (const { from, counters } of due) {
      buckets.forEach((bucket, to) => {
        if (to !== from) {
          bucket.receive(`vm-${from}`, "1", counters);
        }
      });
    }
  }
  return { admittedAt, asked };
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

  test.test("VMs that are not heard keep their share", () => {
    const cut = new placement.SharedBucket(40, 0, 0);
    for (let step = 0; step < 100; step++) {
      cut.refill(1, { present: 1, expected: 40, newsMilliseconds: NEWS_MILLISECONDS });
    }
    assert.ok(cut.level <= 2.5 + 1e-9, `level ${cut.level}`);
  });

  test.test("a VM's new life begins to count anew", () => {
    const bucket = new placement.SharedBucket(100, 100, 0);
    bucket.receive("vm", "1", { taken: 30, asked: 30 });
    bucket.receive("vm", "1", { taken: 40, asked: 40 });
    bucket.receive("vm", "2", { taken: 5, asked: 5 });
    assert.equal(bucket.level, 55);
  });
});
