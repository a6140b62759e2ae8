/**
 * Rendezvous hashing: keys that move, and the balance between owners.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fc from "fast-check";
import * as rendezvous from "../src/rendezvous.ts";

const candidates = fc.uniqueArray(fc.stringMatching(/^vm-[a-z0-9]{1,6}$/), {
  minLength: 2,
  maxLength: 40,
});

test.describe("rendezvous hashing", () => {
  test.it("moves only the keys of a candidate that is removed", () => {
    fc.assert(
      fc.property(candidates, fc.string(), fc.nat(), (all, key, index) => {
        const removed = all[index % all.length] ?? "";
        const left = all.filter((candidate) => candidate !== removed);
        const before = rendezvous.rankOwners(key, all, all.length);
        assert.deepEqual(
          rendezvous.rankOwners(key, left, left.length),
          before.filter((candidate) => candidate !== removed),
        );
        assert.equal(rendezvous.findOwner(key, all), before[0]);
      }),
      { seed: 21, numRuns: 300 },
    );
  });

  test.it("spreads keys evenly over 750 candidates", () => {
    const all = Array.from({ length: 750 }, (_, index) => `vm-${index}`);
    const counts = new Map<string, number>();
    for (let key = 0; key < 75_000; key++) {
      const owner = rendezvous.findOwner(`workspace-${key}`, all) ?? "";
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
    }
    // With 100 keys expected, six standard deviations are 60.
    assert.ok(all.every((candidate) => Math.abs((counts.get(candidate) ?? 0) - 100) < 60));
  });
});
