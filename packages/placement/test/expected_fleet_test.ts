/**
 * Tests of the VMs that keep a share of the rates.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

const HOUR_MILLISECONDS = 3_600_000;

function createVm(
  name: string,
  changes: { dataCentre?: string; address?: string; incarnation?: string } = {},
): placement.ExpectedVm {
  return {
    vm: model.createVmId(name),
    incarnation: (changes.incarnation ?? "1") as model.Incarnation,
    dataCentre: model.createDataCentreId(changes.dataCentre ?? "north"),
    address: changes.address ?? `${name}:1`,
  };
}

const SELF = createVm("self");
const FIRST = createVm("first");
const SECOND = createVm("second");
const SOUTH = createVm("south", { dataCentre: "south" });

/** Records VMs that are all in contact. */
function record(
  fleet: placement.ExpectedFleet,
  tracked: readonly placement.ExpectedVm[],
  left: readonly placement.ExpectedVm[] = [],
): void {
  fleet.record(tracked, tracked, (identity) => left.includes(identity));
}

async function withClock(run: (clock: testing.TestClock) => Promise<void>): Promise<void> {
  const clock = new testing.TestClock();
  try {
    await run(clock);
  } finally {
    clock.restore();
  }
}

test.describe("expected fleet", () => {
  // Guards against a part of a fleet that takes itself for the whole.
  test.test("a VM that disappears keeps its share for two hours", async () => {
    await withClock(async (clock) => {
      const fleet = new placement.ExpectedFleet(SELF);
      record(fleet, [FIRST, SECOND]);
      record(fleet, [FIRST]);
      await clock.advance(1.9 * HOUR_MILLISECONDS, HOUR_MILLISECONDS);
      record(fleet, [FIRST]);
      assert.equal(fleet.size, 3);
      await clock.advance(0.2 * HOUR_MILLISECONDS, HOUR_MILLISECONDS);
      record(fleet, [FIRST]);
      assert.equal(fleet.size, 2);
    });
  });

  // Guards against shares that are withheld for VMs that are known not to run.
  test.test("a VM that left or was replaced gives its share back", async () => {
    await withClock(async (clock) => {
      const fleet = new placement.ExpectedFleet(SELF);
      record(fleet, [FIRST, SECOND, SOUTH]);
      record(fleet, [SECOND, SOUTH], [FIRST]);
      assert.equal(fleet.size, 3, "left");
      record(fleet, [SOUTH]);
      await clock.advance(10_000, 10_000);
      record(fleet, [SOUTH, createVm("second", { incarnation: "2" })]);
      assert.equal(fleet.size, 3, "replaced under its name");
      record(fleet, [SOUTH]);
      record(fleet, [SOUTH, createVm("third", { address: SECOND.address })]);
      assert.equal(fleet.size, 3, "replaced at its address");
      record(fleet, [SOUTH]);
      record(fleet, [SOUTH, createVm("fourth")]);
      assert.equal(fleet.size, 3, "replaced in its data centre");
      record(fleet, [createVm("fourth")]);
      record(fleet, [createVm("fourth"), createVm("fifth")]);
      assert.equal(fleet.size, 4, "a VM of another data centre is no replacement");
    });
  });

  // Guards against a VM that left once and whose later incarnation is lost without notice.
  test.test("a VM that left counts again once it is back", () => {
    const fleet = new placement.ExpectedFleet(SELF);
    const again = createVm("first", { incarnation: "2" });
    record(fleet, [FIRST, SECOND]);
    record(fleet, [SECOND], [FIRST]);
    record(fleet, [again, SECOND], [FIRST]);
    record(fleet, [SECOND], [FIRST]);
    assert.equal(fleet.size, 3);
  });

  // Guards against new VMs that take the place of those that come back with them.
  test.test("VMs that come back together with new ones are all counted", () => {
    const fleet = new placement.ExpectedFleet(SELF);
    record(fleet, [FIRST, SECOND]);
    record(fleet, []);
    record(fleet, [createVm("third"), FIRST, SECOND]);
    assert.equal(fleet.size, 4);
  });

  // Guards against counters of a VM in contact that count as those of one out of contact.
  test.test("contact begins with the first report after a loss", async () => {
    await withClock(async (clock) => {
      const fleet = new placement.ExpectedFleet(SELF);
      record(fleet, [FIRST, SOUTH]);
      assert.equal(fleet.hear(SOUTH), Number.NEGATIVE_INFINITY);
      await clock.advance(10_000, 10_000);
      fleet.record([FIRST, SOUTH], [FIRST], () => false);
      record(fleet, [FIRST]);
      await clock.advance(10_000, 10_000);
      const heardAt = clock.monotonicMilliseconds;
      assert.equal(fleet.hear(SOUTH), heardAt);
      await clock.advance(10_000, 10_000);
      record(fleet, [FIRST, SOUTH]);
      assert.equal(fleet.hear(SOUTH), heardAt);
      assert.equal(fleet.hear(FIRST), Number.NEGATIVE_INFINITY);
    });
  });

  // Guards against a VM that starts in a part of the fleet and takes it for the whole.
  test.test("a VM that starts learns of the data centres out of contact", async () => {
    await withClock(async (clock) => {
      const fleet = new placement.ExpectedFleet(SELF);
      record(fleet, [FIRST, SECOND, SOUTH]);
      assert.deepEqual(fleet.listUnreachable(), []);
      record(fleet, [FIRST]);
      await clock.advance(HOUR_MILLISECONDS, HOUR_MILLISECONDS);
      assert.deepEqual(fleet.listUnreachable(), [[SOUTH, HOUR_MILLISECONDS]]);
      const started = new placement.ExpectedFleet(createVm("started"));
      record(started, [SELF, FIRST]);
      started.adopt(fleet.listUnreachable());
      record(started, [SELF, FIRST]);
      assert.equal(started.size, 4);
      await clock.advance(1.1 * HOUR_MILLISECONDS, HOUR_MILLISECONDS);
      record(started, [SELF, FIRST]);
      assert.equal(started.size, 3);
    });
  });
});
