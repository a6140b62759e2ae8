/**
 * Random histories with a fixed seed: admissions must never exceed rate and burst.
 */

import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as fastCheck from "fast-check";
import * as limits from "../src/mod.ts";
import * as histories from "./histories.ts";

const SEED = 20_260;
const RUNS = 20;
const MAXIMUM_STEPS = 25;

test.describe("histories of a fleet", () => {
  test.it("never admit more than rate and burst, whatever happens", async () => {
    const property = fastCheck.asyncProperty(
      histories.createHistories(MAXIMUM_STEPS),
      async (commands) => {
        const clock = new kernelTesting.TestClock();
        try {
          await histories.runHistory(clock, limits.SAFETY_MARGINS, commands);
        } finally {
          clock.restore();
        }
      },
    );
    await fastCheck.assert(property, kernelTesting.getRandomRuns(SEED, RUNS));
  });
});
