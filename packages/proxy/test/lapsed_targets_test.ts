/**
 * Tests that targets whose entries expired while the store was away stay in use until they can have
 * registered again.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as storeFleet from "./store_fleet.ts";

/** Longer than the time after which the store counts as having been away. */
const OUTAGE_MILLISECONDS = 3_500;

/** Targets are back within two seconds of the store's return. */
const REGISTERED_AGAIN_MILLISECONDS = 1_800;

/** Time from the store's return until entries that are still missing are removed. */
const REMOVED_MILLISECONDS = 4_000;

const BACK = model.createTargetId("back");
const GONE = model.createTargetId("gone");

test.it("targets that lapsed are removed by the second VM that reads the returned store", async () => {
  await storeFleet.withStoreFleet(3, 3, async (dataCentres, store) => {
    const vms = dataCentres.flat();
    const removals: string[] = [];
    store.registerTarget(BACK);
    store.registerTarget(GONE);
    await kernelTesting.waitFor(
      () => vms.every(({ directory }) => directory.find(GONE) !== undefined),
      "all VMs know the targets",
    );
    for (const vm of vms) {
      vm.directory.onChange((change) => {
        if (change.id === BACK && change.entry === undefined) {
          removals.push(vm.mesh.self.vm);
        }
      });
      vm.store.access = "reset";
    }
    await kernel.sleep(OUTAGE_MILLISECONDS);
    store.removeTarget(BACK);
    store.removeTarget(GONE);
    vms.forEach((vm) => vm.store.access = "open");
    await kernel.sleep(REGISTERED_AGAIN_MILLISECONDS);
    store.registerTarget(BACK);
    await kernelTesting.waitFor(
      () => vms.every(({ directory }) => directory.find(GONE) === undefined),
      "the target that did not come back is removed",
      REMOVED_MILLISECONDS - REGISTERED_AGAIN_MILLISECONDS,
    );
    assert.deepEqual(removals, []);
  });
});
