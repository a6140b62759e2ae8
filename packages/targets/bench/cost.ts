/**
 * Measures messages, bytes and processor time that evidence costs in calm, at several sizes of the fleet.
 *
 * Usage: node packages/targets/dist/bench/cost.js [seed]
 */

import * as targets from "../src/mod.ts";
import * as simulations from "./simulation.ts";

const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 30_000;
const MILLISECONDS_IN_SECOND = 1_000;

const USER = {
  targets: 14,
  dataCentres: 4,
  slots: 6,
  connections: 330,
  distanceMilliseconds: 0.5,
  rate: 20,
  floor: 0.7,
};

/** One of 200 services before 750 VMs: 50 targets, 425 calls a second. */
const LARGEST = { ...USER, name: "largest", targets: 50, dataCentres: 8, vms: 750, rate: 8.5 };

interface Cost {
  readonly framesForSecond: number;
  readonly bytesForSecond: number;
  /** Processor time of the whole process, in milliseconds for a second of the fleet's time. */
  readonly processorForSecond: number;
}

function measure(
  size: simulations.Size,
  kind: simulations.PoolKind,
  seed: number,
): Cost {
  const simulation = new simulations.Simulation(size, kind, seed, targets.ALL_GUARDS);
  simulation.time.runUntil(simulation.time.now + WARM_UP_MILLISECONDS);
  simulation.hub.frames = 0;
  simulation.hub.bytes = 0;
  const before = process.cpuUsage();
  simulation.time.runUntil(simulation.time.now + MEASURED_MILLISECONDS);
  const used = process.cpuUsage(before);
  const seconds = MEASURED_MILLISECONDS / MILLISECONDS_IN_SECOND;
  return {
    framesForSecond: simulation.hub.frames / seconds,
    bytesForSecond: simulation.hub.bytes / seconds,
    processorForSecond: (used.user + used.system) / MILLISECONDS_IN_SECOND / seconds,
  };
}

const seed = Number(process.argv[2] ?? "1");
const sizes = [
  ...[5, 10, 20, 40].map((vms) => ({ ...USER, name: `${vms} VMs`, vms })),
  LARGEST,
];
process.stdout.write(
  "| size | messages/s, service | bytes/s, service | bytes a message | messages/s a VM | " +
    "bytes/s a VM | processor ms/s, service, pool with detection | without |\n",
);
process.stdout.write(`| ${Array.from({ length: 8 }, () => "---").join(" | ")} |\n`);
for (const size of sizes) {
  const own = measure(size, "adaptive", seed);
  const baseline = measure(size, "least_loaded", seed);
  const cells = [
    size.name,
    own.framesForSecond.toFixed(1),
    own.bytesForSecond.toFixed(0),
    (own.bytesForSecond / own.framesForSecond).toFixed(0),
    (own.framesForSecond / size.vms).toFixed(2),
    (own.bytesForSecond / size.vms).toFixed(0),
    own.processorForSecond.toFixed(2),
    baseline.processorForSecond.toFixed(2),
  ];
  process.stdout.write(`| ${cells.join(" | ")} |\n`);
}
