/**
 * Runs random histories for a given time: `fuzz SECONDS SEED [MARGIN]`.
 *
 * Prints the seed and the shortest history of a failure. MARGIN names a safety margin to disable,
 * so that failures are expected.
 */

import process from "node:process";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as fastCheck from "fast-check";
import * as limits from "../src/mod.ts";
import * as histories from "../test/histories.ts";

const MAXIMUM_STEPS = 30;
const RUNS_PER_ROUND = 20;

const [secondsText = "60", seedText = "1", marginName] = process.argv.slice(2);
const startedSeconds = process.uptime();
const margins = marginName === undefined ? limits.SAFETY_MARGINS : {
  ...limits.SAFETY_MARGINS,
  [marginName]: marginName === "clockDrift" ? 0 : false,
};

async function runRound(seed: number): Promise<boolean> {
  const property = fastCheck.asyncProperty(
    histories.createHistories(MAXIMUM_STEPS),
    async (commands) => {
      const clock = new kernelTesting.TestClock();
      try {
        await histories.runHistory(clock, margins, commands);
      } finally {
        clock.restore();
      }
    },
  );
  const details = await fastCheck.check(property, { seed, numRuns: RUNS_PER_ROUND });
  if (details.failed) {
    process.stdout.write(`seed ${seed} failed\n${fastCheck.defaultReportMessage(details)}\n`);
  }
  return !details.failed;
}

let seed = Number(seedText);
let runCount = 0;
while (process.uptime() - startedSeconds < Number(secondsText)) {
  if (!await runRound(seed)) {
    process.exit(1);
  }
  runCount += RUNS_PER_ROUND;
  seed++;
}
process.stdout.write(`${runCount} histories, seeds ${seedText} to ${seed - 1}: none failed\n`);
process.exit(0);
