/**
 * The floor: how it is counted, and that no verdicts, in whatever order, take a VM below it.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fastCheck from "fast-check";
import * as exclusion from "../src/exclusion.ts";
import * as floors from "../src/floor.ts";
import * as messages from "../src/messages.ts";
import type * as types from "../src/types.ts";
import * as fixtures from "./fixtures.ts";

const ROUTE = messages.createShortId(fixtures.ROUTE);
const OTHER_ROUTE = messages.createShortId(fixtures.OTHER_ROUTE);
const TARGETS = 14;

const verdict = fastCheck.record({
  target: fastCheck.nat(TARGETS + 1).map((index) =>
    messages.createShortId(fixtures.getTargetId(index))
  ),
  scope: fastCheck.record({
    dataCentre: fastCheck.option(
      fastCheck.nat(3).map((index) => fixtures.getDataCentre(index)),
      { nil: undefined },
    ),
    route: fastCheck.option(fastCheck.constantFrom(ROUTE, OTHER_ROUTE), { nil: undefined }),
  }),
  state: fastCheck.constantFrom<types.Verdict["state"]>("out", "trial"),
  remainingMilliseconds: fastCheck.nat(60_000),
  ejectionCount: fastCheck.integer({ min: 1, max: 9 }),
});

const selection = fastCheck.record({
  floor: fastCheck.double({ min: 0, max: 1, noNaN: true }),
  leaving: fastCheck.uniqueArray(fastCheck.nat(TARGETS - 1), { maxLength: TARGETS }),
  verdicts: fastCheck.array(verdict, { maxLength: 30 }),
  ownVerdicts: fastCheck.array(verdict, { maxLength: 20 }),
  mayTry: fastCheck.boolean(),
  dataCentre: fastCheck.nat(3).map((index) => fixtures.getDataCentre(index)),
  route: fastCheck.constantFrom(ROUTE, OTHER_ROUTE),
});

type SelectionCase =
  & Pick<
    exclusion.SelectionRequest,
    "floor" | "verdicts" | "ownVerdicts" | "mayTry" | "dataCentre" | "route"
  >
  & { readonly leaving: readonly number[] };

function select(request: SelectionCase, enforceFloor: boolean): exclusion.TargetSelection {
  const { leaving } = request;
  const snapshot = fixtures.createSnapshot({
    targets: TARGETS,
    dataCentres: 4,
    leaving: new Set(leaving),
  });
  const declared = snapshot.listTargets(fixtures.SERVICE).map((target) => ({
    target,
    shortId: messages.createShortId(target.id),
  }));
  return exclusion.selectTargets({ ...request, declared, enforceFloor });
}

function check(request: SelectionCase, enforceFloor: boolean): void {
  const { inUse, trials, out } = select(request, enforceFloor);
  const staying = TARGETS - request.leaving.length;
  // Computed without the code under test: the share of all targets, or all that are not leaving.
  const least = Math.min(staying, Math.max(1, request.floor * TARGETS - 1e-6));
  assert.ok(inUse.length >= least, `${inUse.length} in use, at least ${least} are due`);
  assert.ok(inUse.every(({ target }) => !target.leaving));
  assert.ok(trials.every(({ target, shortId }) => !target.leaving && out.has(shortId)));
}

test.describe("floor", () => {
  test.it("is rounded up and counts leaving targets as out", () => {
    assert.equal(floors.getFloorCount(14, 0, 0.7), 10);
    assert.equal(floors.getFloorCount(20, 0, 0.55), 11);
    assert.equal(floors.getFloorCount(14, 3, 0.7), 10);
    assert.equal(floors.getFloorCount(14, 6, 0.7), 8);
    assert.equal(floors.getFloorCount(3, 0, 0), 1);
    assert.equal(floors.getFloorCount(0, 0, 0.7), 0);
  });

  test.it("holds on a VM whatever verdicts arrive in whatever order", () => {
    const property = fastCheck.property(selection, (request) => check(request, true));
    fastCheck.assert(property, { seed: 6_001, numRuns: 2_000 });
  });

  test.it("is broken without its guard", () => {
    const property = fastCheck.property(selection, (request) => check(request, false));
    assert.ok(fastCheck.check(property, { seed: 6_001, numRuns: 2_000 }).failed);
  });

  test.it("ignores verdicts for other data centres or routes", () => {
    const target = messages.createShortId(fixtures.getTargetId(0));
    const elsewhere: types.Verdict = {
      target,
      scope: { dataCentre: fixtures.getDataCentre(1), route: OTHER_ROUTE },
      state: "out",
      remainingMilliseconds: 1_000,
      ejectionCount: 1,
    };
    const request = {
      floor: 0.5,
      leaving: [],
      verdicts: [elsewhere],
      ownVerdicts: [],
      mayTry: false,
    };
    const [first, second] = [fixtures.getDataCentre(0), fixtures.getDataCentre(1)];
    assert.equal(
      select({ ...request, dataCentre: first, route: OTHER_ROUTE }, true).out.size,
      0,
    );
    assert.equal(select({ ...request, dataCentre: second, route: ROUTE }, true).out.size, 0);
    assert.equal(
      select({ ...request, dataCentre: second, route: OTHER_ROUTE }, true).out.size,
      1,
    );
  });
});
