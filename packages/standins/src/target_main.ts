/**
 * Runs one target stand-in as a process. Prints its address, then serves until it is terminated.
 */

import process from "node:process";
import * as targets from "./target.ts";

const name = process.argv[2] ?? "target";
const target = new targets.TargetStandin(name);
await target.start();
process.stdout.write(`${target.address}\n`);
