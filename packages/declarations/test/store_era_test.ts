/**
 * Tests of targets across eras of the store: what a restored backup replaces, and what still binds.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";
import * as fixtures from "@hemlockwalk/declarations/testing";

const TARGET = model.createTargetId("a");
const STARTED_AT = 1_000;

/** A change of the target's first incarnation. */
function report(
  reportNumber: number,
  revision: number,
  era: number,
  changes: Partial<declarations.TargetEntry> = {},
): declarations.TargetChange {
  return fixtures.createChange(
    TARGET,
    revision,
    { startedAt: STARTED_AT, reportNumber, ...changes },
    era,
  );
}

function createDirectory(...changes: declarations.TargetChange[]): declarations.TargetDirectory {
  const directory = new declarations.TargetDirectory();
  changes.forEach((change) => directory.apply(change));
  return directory;
}

test.describe("eras of the store", () => {
  test.test("a change of a later era wins although its revision is lower", () => {
    const directory = createDirectory(report(1, 500, 1));
    assert.equal(directory.apply(report(9, 20, 2, { slots: 7 })), true);
    assert.equal(directory.find(TARGET)?.slots, 7);
    assert.equal(directory.apply(report(8, 600, 1)), false);
    assert.equal(directory.getLatestEra(), 2);
  });

  test.test("a target counts as warm too early, or a late VM shortens the time until it is", async () => {
    const clock = new testing.TestClock();
    try {
      const cold = (milliseconds: number) => ({ warmUpMilliseconds: milliseconds });
      const directory = createDirectory(report(1, 50, 1, cold(3_000)));
      assert.equal(directory.getWarmUpLeft(TARGET), 3_000);
      await clock.advance(1_000);
      assert.equal(directory.getWarmUpLeft(TARGET), 2_000);
      const late = new declarations.TargetDirectory();
      directory.listChanges().forEach((change) => late.apply(change));
      assert.equal(late.getWarmUpLeft(TARGET), 3_000, "from a snapshot of another VM");
      directory.apply(report(1, 60, 1, cold(3_000)));
      assert.equal(directory.getWarmUpLeft(TARGET), 3_000, "renewed under the same number");
      directory.apply(report(2, 70, 1, cold(500)));
      assert.equal(directory.getWarmUpLeft(TARGET), 500, "the target is warm sooner");
      assert.equal(directory.getWarmUpLeft(model.createTargetId("unknown")), 0);
    } finally {
      clock.restore();
    }
  });

  test.test("a backup from before a target turned cold makes it warm", async () => {
    const clock = new testing.TestClock();
    try {
      const cold = { warmUpMilliseconds: 3_000 };
      const directory = createDirectory(report(4, 80, 1), report(5, 90, 1, cold));
      await clock.advance(1_000);
      directory.apply(report(4, 80, 2));
      assert.equal(directory.getWarmUpLeft(TARGET), 2_000, "an earlier report");
      directory.apply(report(5, 91, 2, cold));
      assert.equal(directory.getWarmUpLeft(TARGET), 3_000, "the target has reported again");
      await clock.advance(1_000);
      directory.apply(report(5, 91, 3, cold));
      assert.equal(directory.getWarmUpLeft(TARGET), 2_000, "the same report");
      directory.apply(report(6, 92, 3));
      assert.equal(directory.getWarmUpLeft(TARGET), 0, "the target has reported again");
      const unnumbered = createDirectory(
        fixtures.createChange(TARGET, 90, cold, 1),
        fixtures.createChange(TARGET, 80, {}, 2),
      );
      assert.equal(unnumbered.getWarmUpLeft(TARGET), 3_000);
    } finally {
      clock.restore();
    }
  });

  test.test("a known drain outlives a backup that lists the target as ready", () => {
    const directory = createDirectory(
      report(5, 50, 1),
      report(9, 90, 1, { isDraining: true }),
      report(5, 50, 2),
    );
    assert.equal(directory.find(TARGET)?.isDraining, true);
    directory.apply(report(10, 95, 2));
    assert.equal(directory.find(TARGET)?.isDraining, false, "the target has reported again");
  });

  test.test("a known end outlives a backup that still lists the target", () => {
    const directory = createDirectory(
      report(5, 50, 1),
      fixtures.createRemoval(TARGET, 90, 1),
      report(5, 50, 2),
    );
    assert.equal(directory.find(TARGET), undefined);
    directory.apply(report(6, 95, 2));
    assert.notEqual(directory.find(TARGET), undefined, "the target has reported again");
  });

  test.test("a target that registers again within an era is back, whatever its report number", () => {
    const directory = createDirectory(
      report(5, 50, 1),
      fixtures.createRemoval(TARGET, 90, 1),
      report(5, 91, 1),
    );
    assert.notEqual(directory.find(TARGET), undefined);
  });

  test.test("a target that has started again is told apart from its incarnation in a backup", () => {
    const again = { startedAt: STARTED_AT + 500, address: "127.0.0.1:2" };
    const directory = createDirectory(report(40, 50, 1), report(1, 90, 1, again));
    assert.equal(directory.apply(report(40, 50, 2)), false);
    assert.equal(directory.find(TARGET)?.address, "127.0.0.1:2", "stays in use as lapsed");
    assert.deepEqual(
      directory.listOutdated(fixtures.createPosition(60, 2)).map(({ id }) => id),
      [TARGET],
    );
    // A VM that has only been told the facts does not use the ended incarnation either.
    const started = new declarations.TargetDirectory();
    directory.listFacts().forEach((fact) => started.applyFact(fact));
    started.apply(report(40, 50, 2));
    assert.equal(started.find(TARGET), undefined);
    started.apply(report(2, 70, 2, again));
    assert.equal(started.find(TARGET)?.address, "127.0.0.1:2");
  });

  test.test("a clock that was set back does not hide a target that starts again", () => {
    const directory = createDirectory(
      report(5, 50, 1),
      fixtures.createRemoval(TARGET, 60, 1),
      report(1, 70, 1, { startedAt: STARTED_AT - 300 }),
    );
    assert.notEqual(directory.find(TARGET), undefined);
  });

  test.test("what a backup lacks is outdated, not missing", () => {
    const directory = createDirectory(report(5, 50, 1));
    const asOf = fixtures.createPosition(40, 2);
    assert.deepEqual(directory.listMissing(new Set(), asOf), []);
    const [removal] = directory.listOutdated(asOf);
    assert.deepEqual(removal?.position, asOf);
    directory.apply(report(6, 41, 2));
    assert.deepEqual(directory.listOutdated(asOf), []);
    assert.ok(removal !== undefined && !directory.apply(removal), "it has registered again");
  });

  test.test("a target that leaves by its own announcement stays out for its incarnation", () => {
    const directory = createDirectory(report(5, 50, 1));
    const leaving: model.TargetId[] = [];
    directory.onLeaving((entry) => leaving.push(entry.id));
    const entry = directory.find(TARGET) ?? assert.fail();
    const fact = {
      ...declarations.createFact(entry, 1 as declarations.StoreEra, "ready"),
      isLeaving: true,
    };
    assert.equal(directory.applyFact(fact), true);
    assert.equal(directory.applyFact(fact), false);
    assert.deepEqual(leaving, [TARGET]);
    directory.apply(report(6, 60, 1));
    directory.apply(report(7, 30, 2));
    assert.equal(directory.find(TARGET)?.isDraining, true);
    directory.apply(report(1, 80, 2, { startedAt: STARTED_AT + 1 }));
    assert.equal(directory.find(TARGET)?.isDraining, false);
  });

  test.test("facts are the same in any order and however often they arrive", () => {
    const runs = testing.getRandomRuns(211, 300);
    const fact = fc.record({
      id: fc.constant(TARGET),
      startedAt: fc.integer({ min: 0, max: 2 }),
      reportNumber: fc.integer({ min: -1, max: 3 }),
      era: fc.integer({ min: 0, max: 2 }).map((era) => era as declarations.StoreEra),
      state: fc.constantFrom<declarations.TargetState>("ready", "draining", "ended"),
      isLeaving: fc.boolean(),
      rate: fc.record({
        requestsPerSecond: fc.constantFrom(undefined, 0.5, 2),
        change: fc.integer({ min: 1, max: 3 }),
      }, { noNullPrototype: true }),
    }, { requiredKeys: ["id", "startedAt", "reportNumber", "era", "state", "isLeaving"] });
    fc.assert(
      fc.property(fc.array(fact, { minLength: 1, maxLength: 8 }), fc.infiniteStream(fc.nat()), (
        facts,
        order,
      ) => {
        const merge = (list: readonly declarations.TargetFact[]) =>
          list.reduce((left, right) => declarations.mergeFacts(left, right));
        const shuffled = [...facts, ...facts]
          .map((one) => ({ one, key: order.next().value as number }))
          .sort((left, right) => left.key - right.key)
          .map(({ one }) => one);
        // Generated records lack a prototype, which is of no interest.
        assert.deepEqual({ ...merge(shuffled) }, { ...merge(facts) });
      }),
      runs,
    );
  });

  test.test("facts that differ have the same digest, so that a VM does not ask for them", () => {
    const digests = new Set<number>();
    const reports = Array.from({ length: 40 }, (_, index) => index);
    for (const first of reports) {
      for (const second of reports) {
        const directory = new declarations.TargetDirectory();
        for (const [id, reportNumber] of [["a", first], ["b", second]] as const) {
          const { entry } = fixtures.createChange(id, 1, { reportNumber });
          const era = 1 as declarations.StoreEra;
          directory.applyFact(declarations.createFact(entry ?? assert.fail(), era, "draining"));
        }
        digests.add(directory.getFactsDigest());
      }
    }
    assert.equal(digests.size, reports.length ** 2);
  });

  test.test("VMs that saw different changes before a restore agree after the same changes", () => {
    const runs = testing.getRandomRuns(212, 300);
    const change = fc.record({
      era: fc.integer({ min: 1, max: 3 }),
      isGone: fc.boolean(),
      isDraining: fc.boolean(),
      startedAt: fc.integer({ min: 1, max: 2 }),
    });
    fc.assert(
      fc.property(
        fc.array(change, { maxLength: 10 }),
        fc.array(fc.boolean(), { minLength: 10, maxLength: 10 }),
        (drawn, isSeen) => {
          // Reports rise within an incarnation, and every era continues from a later report.
          const changes = drawn.map((one, index) =>
            one.isGone ? fixtures.createRemoval(TARGET, index + 1, one.era) : report(
              index + 1,
              index + 1,
              one.era,
              { startedAt: one.startedAt, isDraining: one.isDraining },
            )
          );
          const whole = createDirectory(...changes);
          const partial = createDirectory(...changes.filter((_, index) => isSeen[index] === true));
          whole.listFacts().forEach((fact) => partial.applyFact(fact));
          whole.listChanges().forEach((one) => partial.apply(one));
          const entry = whole.find(TARGET);
          const other = partial.find(TARGET);
          const isServing = (found: declarations.TargetEntry | undefined) =>
            found !== undefined && !found.isDraining;
          assert.equal(isServing(other) && !isServing(entry), false, "nothing is undone");
        },
      ),
      runs,
    );
  });
});
