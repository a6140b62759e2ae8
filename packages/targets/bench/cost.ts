/**
 * Measures the messages, bytes and processor time of detection without faults, for several fleet
 * sizes.
 *
 * Usage: node packages/targets/dist/bench/cost.js [seed]
 */

import * as targets from "../src/mod.ts";
import * as simulations from "./simulation.ts";

const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 30_000;
const MILLISECONDS_PER_SECOND = 1_000;

const PERMIT_DESK = {
  targets: 14,
  dataCentres: 4,
  slots: 6,
  connections: 330,
  distanceMilliseconds: 0.5,
  rate: 20,
  floor: 0.7,
};

/** One of 200 services of a fleet of 750 VMs: 50 targets, 425 calls per second. */
const LARGEST = {
  ...PERMIT_DESK,
  name: "largest",
  targets: 50,
  dataCentres: 8,
  vms: 750,
  rate: 8.5,
};

interface Cost {
  readonly framesPerSecond: number;
  readonly bytesPerSecond: number;
  /** Processor time of the whole process, in milliseconds per second of virtual time. */
  readonly processorPerSecond: number;
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
  const seconds = MEASURED_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return {
    framesPerSecond: simulation.hub.frames / seconds,
    bytesPerSecond: simulation.hub.bytes / seconds,
    processorPerSecond: (used.user + used.system) / MILLISECONDS_PER_SECOND / seconds,
  };
}

const seed = Number(process.argv[2] ?? "1");
const sizes = [
  ...[5, 10, 20, 40].map((vms) => ({ ...PERMIT_DESK, name: `${vms} VMs`, vms })),
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
    own.framesPerSecond.toFixed(1),
    own.bytesPerSecond.toFixed(0),
    (own.bytesPerSecond / own.framesPerSecond).toFixed(0),
    (own.framesPerSecond / size.vms).toFixed(2),
    (own.bytesPerSecond / size.vms).toFixed(0),
    own.processorPerSecond.toFixed(2),
    baseline.processorPerSecond.toFixed(2),
  ];
  process.stdout.write(`| ${cells.join(" | ")} |\n`);
}
