/**
 * The record of a play, and its exit codes.
 */

import * as fs from "node:fs";
import process from "node:process";

/** Whether the disruption is to happen. */
export const isTroubled = process.env.TROUBLE !== "0";

/** Writes what happens to the record, with the time since the start. */
export class Record {
  #file;
  #startedAt = performance.now();

  constructor(file) {
    this.#file = fs.openSync(file, "w");
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8);
    fs.writeSync(this.#file, `${seconds} s  ${text}\n`);
  }

  /** Writes the verdict, also to standard output. */
  conclude(text) {
    this.write(text);
    process.stdout.write(`${text}\n`);
  }
}

/**
 * Runs a play. Its result is the list of violations. Exits with 0 if the rule held, 1 if it was
 * broken and 2 if the case could not run.
 */
export async function play(folder, run) {
  const record = new Record(new URL("record.txt", folder));
  record.write(isTroubled ? "with the disruption" : "without the disruption");
  let code;
  try {
    const violations = await run(record);
    violations.forEach((violation) => record.conclude(`BROKEN  ${violation}`));
    code = violations.length > 0 ? 1 : 0;
    record.conclude(code === 1 ? "The rule was broken." : "The rule held.");
  } catch (error) {
    record.conclude(`The case could not run: ${error.stack ?? error}`);
    code = 2;
  }
  process.exit(code);
}
