/**
 * Tests of the rates that targets state for all VMs together, against the bound of the whole fleet.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const TARGET = model.createTargetId("a");
const WINDOW_SECONDS = 4;
const STEP_MILLISECONDS = 50;
const SECONDS = 20;

/** Most requests that a target may get in a window, by the platform's rule. */
function getBound(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_SECONDS + 5;
}

function createFleet(vms: number, dataCentres: number): placement.RateHolder[] {
  return Array.from({ length: vms }, (_, index) => ({
    vm: model.createVmId(`edge-${index}`),
    dataCentre: model.createDataCentreId(`dc-${index % dataCentres}`),
  }));
}

/** Simulates a fleet all of whose VMs want to send; returns the times of the sent requests. */
async function simulate(world: {
  readonly vms: number;
  readonly rate: number;
  readonly seed: number;
  /** A VM is replaced after each interval of this length. */
  readonly replaceMilliseconds: number;
}): Promise<number[]> {
  const clock = new testing.TestClock();
  try {
    const random = randoms.createRandom(world.seed);
    const fleet = createFleet(world.vms, 3);
    const present = new Set(fleet.map(({ vm }) => vm));
    // Each VM hears of a change of the fleet with a delay of its own.
    const views = fleet.map(() => fleet);
    const createRates = (index: number) =>
      new placement.TargetRates(
        fleet[index]?.vm ?? assert.fail(),
        () => ({ members: views[index] ?? fleet, presentShare: 1 }),
      );
    const rates = fleet.map((_, index) => createRates(index));
    const dataCentre = model.createDataCentreId("dc-1");
    const sentAt: number[] = [];
    for (let at = 0; at < SECONDS * 1_000; at += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
      if (at % world.replaceMilliseconds < STEP_MILLISECONDS) {
        const replaced = Math.floor(random() * world.vms);
        const { vm } = fleet[replaced] ?? assert.fail();
        if (present.delete(vm)) {
          rates[replaced] = createRates(replaced);
        } else {
          present.add(vm);
        }
      }
      for (const [index, { vm }] of fleet.entries()) {
        if (random() < 0.1) {
          views[index] = fleet.filter((member) => present.has(member.vm) || member.vm === vm);
        }
        const own = rates[index];
        if (present.has(vm) && own?.getWait(TARGET, dataCentre, world.rate) === 0) {
          own.take(TARGET);
          sentAt.push(at);
        }
      }
    }
    return sentAt;
  } finally {
    clock.restore();
  }
}

function findBusiestWindow(sentAt: readonly number[]): number {
  return sentAt.reduce((most, from, index) => {
    const until = sentAt.findIndex((at) => at >= from + WINDOW_SECONDS * 1_000);
    return Math.max(most, (until < 0 ? sentAt.length : until) - index);
  }, 0);
}

test.describe("rates stated by targets", () => {
  test.test("a decimal number is read, anything else is not", () => {
    assert.equal(placement.parseRate("2.25"), 2.25);
    assert.equal(placement.parseRate("0"), 0);
    for (const text of ["", "-1", "many", "1e3", "NaN", "Infinity", "1,5", "2/s"]) {
      assert.equal(placement.parseRate(text), undefined, text);
    }
  });

  test.test("a fleet that overwhelms a limited target exceeds its rate", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          vms: fc.integer({ min: 1, max: 60 }),
          rate: fc.double({ min: 0, max: 12, noNaN: true }),
          seed: fc.integer({ min: 1, max: 1_000_000 }),
          replaceMilliseconds: fc.constantFrom(700, 2_500, SECONDS * 1_000),
        }),
        async (world) => {
          const busiest = findBusiestWindow(await simulate(world));
          assert.ok(busiest <= getBound(world.rate), `${busiest} requests`);
        },
      ),
      testing.getRandomRuns(204, 12),
    );
  });

  test.test("a limited target gets less than half of its rate from a large fleet", async () => {
    const rate = 2.2;
    const sent = await simulate({ vms: 292, rate, seed: 1, replaceMilliseconds: SECONDS * 1_000 });
    assert.ok(sent.length >= rate * SECONDS / 2, `${sent.length} requests`);
  });

  test.test("the holders of a rate are those of the target's data centre, where it has enough", () => {
    const fleet = createFleet(30, 3);
    const dataCentre = model.createDataCentreId("dc-1");
    const holders = placement.listRateHolders(TARGET, dataCentre, 1.3, fleet);
    assert.equal(holders.length, 4);
    assert.ok(holders.every((holder) => holder.dataCentre === dataCentre));
    const reversed = placement.listRateHolders(TARGET, dataCentre, 1.3, [...fleet].reverse());
    assert.deepEqual(holders, reversed);
    const others = placement.listRateHolders(model.createTargetId("b"), dataCentre, 1.3, fleet);
    assert.notDeepEqual(holders, others);
  });

  test.test("a VM that is mostly out of contact uses less of the rate", async () => {
    const clock = new testing.TestClock();
    try {
      const [self] = createFleet(1, 1);
      assert.ok(self !== undefined);
      let presentShare = 1;
      const rates = new placement.TargetRates(
        self.vm,
        () => ({ members: [self], presentShare }),
      );
      assert.equal(rates.getWait(TARGET, self.dataCentre, 2), 500);
      presentShare = 0.25;
      await clock.advance(300);
      rates.take(TARGET);
      await clock.advance(1);
      assert.ok(rates.getWait(TARGET, self.dataCentre, 2) > 1_900);
    } finally {
      clock.restore();
    }
  });

  test.test("a token is returned more than once, or to a part that was lost meanwhile", async () => {
    const clock = new testing.TestClock();
    try {
      const [self, other] = createFleet(2, 1);
      assert.ok(self !== undefined && other !== undefined);
      let members = [self];
      let presentShare = 1;
      const rates = new placement.TargetRates(self.vm, () => ({ members, presentShare }));
      const getWait = () => rates.getWait(TARGET, self.dataCentre, 2);
      const take = () => rates.take(TARGET) ?? assert.fail();
      getWait();
      await clock.advance(500);
      assert.equal(getWait(), 0);
      const withdrawn = take();
      assert.ok(getWait() > 0);
      rates.returnToken(TARGET, withdrawn);
      assert.equal(getWait(), 0, "the request was not sent");
      take();
      rates.returnToken(TARGET, withdrawn);
      assert.equal(getWait(), 500, "it was returned before");
      await clock.advance(500);
      assert.equal(getWait(), 0);
      const lost = take();
      members = [other];
      presentShare = 0;
      await clock.advance(300);
      assert.equal(getWait(), Number.POSITIVE_INFINITY);
      rates.returnToken(TARGET, lost);
      members = [self];
      presentShare = 1;
      await clock.advance(300);
      assert.equal(getWait(), 500);
    } finally {
      clock.restore();
    }
  });

  test.test("the holders of a new limit all send at the same moment", async () => {
    const clock = new testing.TestClock();
    try {
      const members = createFleet(6, 1);
      const waits = members.map(({ vm, dataCentre }) =>
        new placement.TargetRates(vm, () => ({ members, presentShare: 1 }))
          .getWait(TARGET, dataCentre, 3, true)
      ).sort((left, right) => left - right);
      waits.forEach((wait, index) =>
        assert.ok(Math.abs(wait - (index + 1) * 1_000 / 3) < 1, `${wait} ms`)
      );
      await clock.advance(1);
    } finally {
      clock.restore();
    }
  });

  test.test("the parts of a divided fleet have several times the holders of the whole", () => {
    const fleet = createFleet(120, 3);
    const whole = placement.listRateHolders(TARGET, model.createDataCentreId("dc-1"), 3.3, fleet);
    assert.equal(whole.length, 6);
    for (const parts of [2, 3, 4, 6, 12, 120]) {
      const holders = Array.from({ length: parts }, (_, part) => {
        const members = fleet.filter((__, index) => index % parts === part);
        const dataCentre = model.createDataCentreId("dc-1");
        return placement.listRateHolders(TARGET, dataCentre, 3.3, members, 1 / parts).length;
      }).reduce((sum, count) => sum + count, 0);
      assert.ok(holders <= 8, `${holders} holders in ${parts} parts`);
    }
  });
});

test.describe("the fleet that a VM remembers", () => {
  const fleet = createFleet(40, 2);

  test.test("a VM that starts takes the first VMs that it learns of for the whole fleet", async () => {
    const clock = new testing.TestClock();
    try {
      const memory = new placement.FleetMemory();
      for (let known = 1; known <= 40; known += 3) {
        assert.ok(Number(memory.record(fleet.slice(0, known), 1).settlesInMilliseconds) > 0);
        await clock.advance(100);
      }
      assert.ok(Number(memory.record(fleet, 1).settlesInMilliseconds) > 0);
      await clock.advance(600);
      assert.deepEqual(
        memory.record(fleet, 1),
        { members: fleet, presentShare: 1, recentShare: 1, settlesInMilliseconds: 0 },
      );
      const replaced = [...fleet.slice(1), ...createFleet(41, 2).slice(40)];
      await clock.advance(5_000);
      assert.equal(
        memory.record(replaced, 1).settlesInMilliseconds,
        0,
        "a VM that has run for long is not held up by others that start",
      );
    } finally {
      clock.restore();
    }
  });

  test.test("a part of a fleet takes itself for the whole after a while, or for ever for a part", async () => {
    const clock = new testing.TestClock();
    try {
      const memory = new placement.FleetMemory();
      memory.record(fleet, 1);
      await clock.advance(60_000, 10_000);
      const part = fleet.slice(0, 10);
      assert.equal(memory.record(part, 1).presentShare, 0.25);
      await clock.advance(300_000, 100_000);
      const started = new placement.FleetMemory();
      started.record(part, 1);
      started.adopt(memory.largest ?? assert.fail());
      assert.equal(started.record(part, 1).presentShare, 0.25, "a VM that started in the part");
      assert.equal(started.record(part, 0.1).presentShare, 0.1, "the lower share counts");
      await clock.advance(300_000, 100_000);
      memory.adopt(started.largest ?? assert.fail());
      assert.equal(memory.record(part, 1).presentShare, 1, "the fleet was made smaller");
    } finally {
      clock.restore();
    }
  });
});
