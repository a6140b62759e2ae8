/**
 * Tests that changes in the store reach all VMs in time while the store turns away the VMs that
 * read it.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as fc from "fast-check";
import * as storeFleet from "./store_fleet.ts";

/** Longest time until a change is in force at every VM. */
const BOUND_MILLISECONDS = 2_000;

/** Time within which 99 of 100 changes are in force while readers do not change. */
const USUAL_MILLISECONDS = 300;

const VMS_PER_DATA_CENTRE = 3;
const CUT_MILLISECONDS = 7_000;
const MIN_WRITE_INTERVAL_MILLISECONDS = 70;
const MAX_WRITE_INTERVAL_MILLISECONDS = 230;

/** Time of calm before a cut. */
const SETTLED_MILLISECONDS = 1_500;

interface Versions {
  readonly all: readonly number[];
  /** Those written once the cut had lasted for the bound. */
  readonly later: readonly number[];
}

/** Writes versions at irregular intervals, and waits until the last one is due. */
async function write(store: storeFleet.SharedStore, milliseconds: number): Promise<Versions> {
  const startedAt = performance.now();
  const range = MAX_WRITE_INTERVAL_MILLISECONDS - MIN_WRITE_INTERVAL_MILLISECONDS;
  const all: number[] = [];
  const later: number[] = [];
  while (performance.now() < startedAt + milliseconds) {
    const version = store.write();
    all.push(version);
    if (performance.now() >= startedAt + BOUND_MILLISECONDS) {
      later.push(version);
    }
    await kernel.sleep(MIN_WRITE_INTERVAL_MILLISECONDS + (version * 37) % range);
  }
  await kernel.sleep(BOUND_MILLISECONDS);
  return { all, later };
}

function listLate(vms: readonly storeFleet.StoreVm[], versions: Versions): string[] {
  const late = vms.flatMap((vm) =>
    vm.listDelays(versions.all)
      .filter((delay) => delay > BOUND_MILLISECONDS)
      .map((delay) => `${vm.mesh.self.vm}: ${Math.round(delay)} ms`)
  );
  const delays = vms.flatMap((vm) => vm.listDelays(versions.later));
  const slow = delays.filter((delay) => delay > USUAL_MILLISECONDS);
  if (slow.length > delays.length / 100) {
    const longest = Math.round(Math.max(...slow));
    late.push(`${slow.length} of ${delays.length} are slow, the longest ${longest} ms`);
  }
  return late;
}

test.describe("readers that the store turns away", { concurrency: 1 }, () => {
  for (const dataCentres of [3, 4]) {
    for (const access of ["reset", "busy", "silent"] as const) {
      test.test(`changes come late to ${dataCentres} data centres whose readers get: ${access}`, async () => {
        await storeFleet.withStoreFleet(
          dataCentres,
          VMS_PER_DATA_CENTRE,
          async (vms, store) => {
            await kernel.sleep(SETTLED_MILLISECONDS);
            for (const [reader] of vms) {
              (reader ?? assert.fail()).store.access = access;
            }
            const versions = await write(store, CUT_MILLISECONDS);
            assert.deepEqual(listLate(vms.flat(), versions), []);
          },
        );
      });
    }
  }

  test.test("changes come late while drawn VMs are turned away and served again", async () => {
    const { seed, numRuns } = kernelTesting.getRandomRuns(34, 2);
    const dataCentres = 4;
    const count = dataCentres * VMS_PER_DATA_CENTRE;
    // The last VM is served all the time.
    const wave = fc.array(
      fc.record({
        vm: fc.nat(count - 2),
        access: fc.constantFrom("open", "reset", "busy", "silent"),
      }),
      { minLength: 4, maxLength: count },
    );
    await fc.assert(
      fc.asyncProperty(fc.array(wave, { minLength: 4, maxLength: 4 }), async (waves) => {
        await storeFleet.withStoreFleet(
          dataCentres,
          VMS_PER_DATA_CENTRE,
          async (grouped, store) => {
            await kernel.sleep(SETTLED_MILLISECONDS);
            const vms = grouped.flat();
            const changes = waves.map(async (changed, index) => {
              await kernel.sleep(index * BOUND_MILLISECONDS);
              for (const { vm, access } of changed) {
                (vms[vm] ?? assert.fail()).store.access = access;
              }
            });
            const { all } = await write(store, waves.length * BOUND_MILLISECONDS);
            await Promise.all(changes);
            assert.deepEqual(listLate(vms, { all, later: [] }), []);
          },
        );
      }),
      // A shorter history is not searched, since each takes ten seconds.
      { seed, numRuns, endOnFailure: true },
    );
  });
});
