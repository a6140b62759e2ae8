/**
 * Tests of where requests with homes may go.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";

const [EU, US] = [model.createRegionId("eu"), model.createRegionId("us")];
const NORTH = model.createDataCentreId("north");
const WEST = model.createDataCentreId("west");
const NEW = model.createDataCentreId("new");

const POLICY = new placement.HomePolicy({
  byDataCentre: new Map([[NORTH, EU], [WEST, US]]),
  own: US,
});

test.describe("homes", () => {
  test.test("a request of a route and a workspace that both limit it leaves neither's regions", () => {
    assert.deepEqual(placement.intersectHomes([EU, US], [US]), [US]);
    assert.deepEqual(placement.intersectHomes([EU], [US]), []);
    assert.deepEqual(placement.intersectHomes([EU], undefined), [EU]);
    assert.equal(placement.intersectHomes(undefined, undefined), undefined);
  });

  test.test("a request is not sent outside its homes, nor to a data centre of unknown region", () => {
    const list = (homes: placement.Homes) =>
      [NORTH, WEST, NEW].map((dataCentre) => POLICY.allowsTarget(homes, dataCentre));
    assert.deepEqual(list([EU]), [true, false, false]);
    assert.deepEqual(list([]), [false, false, false]);
    assert.deepEqual(list(undefined), [true, true, true], "no limit");
  });

  test.test("a request is passed on within its homes or its VM's own region only", () => {
    const list = (homes: placement.Homes) =>
      [NORTH, WEST, NEW].map((dataCentre) => POLICY.allowsPeer(homes, dataCentre));
    assert.deepEqual(list([EU]), [true, true, false]);
    assert.deepEqual(list([US]), [false, true, false]);
    const unknown = new placement.HomePolicy({ byDataCentre: new Map(), own: undefined });
    assert.equal(unknown.allowsPeer([EU], NORTH), false, "two unknown regions are not the same");
  });

  test.test("a misspelt region is found", () => {
    assert.deepEqual(POLICY.listUnknown([EU, model.createRegionId("ue")]), ["ue"]);
  });
});
