/**
 * Runs more random histories of claims than CI has time for. Arguments: number of histories, seed.
 */

import process from "node:process";
import * as fc from "fast-check";
import * as histories from "../test/claim_histories.ts";

const numRuns = Number(process.argv[2] ?? 100);
const seed = Number(process.argv[3] ?? 1);
const total = new Map<string, number>();
await fc.assert(
  fc.asyncProperty(histories.history, async (steps) => {
    for (const [kind, count] of await histories.runHistory(steps)) {
      total.set(kind, (total.get(kind) ?? 0) + count);
    }
  }),
  { seed, numRuns },
);
const counts = [...total].map(([kind, count]) => `${kind} ${count}`).join(", ");
process.stdout.write(`${numRuns} histories with seed ${seed}: no violation; ${counts}\n`);
