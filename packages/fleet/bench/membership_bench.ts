/**
 * Measures the membership on the tests' clock: traffic for each VM in calm, time until a dead VM has
 * left all views, and the speed of the owner choice. Arguments: numbers of VMs.
 */

import process from "node:process";
import * as rendezvous from "../src/rendezvous.ts";
import * as simulation from "../test/simulated_fleet.ts";

const CALM_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 10;
const DEATHS = 5;
const GIVE_UP_MILLISECONDS = 60_000;

async function measureDeath(fleet: simulation.SimulatedFleet, name: string): Promise<number> {
  await fleet.kill(name);
  const truth = fleet.describeTruth();
  let waited = 0;
  while (waited < GIVE_UP_MILLISECONDS) {
    if ([...fleet.vms.values()].every((vm) => vm.describeView() === truth)) {
      return waited;
    }
    await fleet.clock.advance(100, STEP_MILLISECONDS);
    waited += 100;
  }
  return waited;
}

async function measureFleet(count: number): Promise<void> {
  const fleet = new simulation.SimulatedFleet(Math.min(8, Math.max(3, Math.ceil(count / 10))));
  await fleet.start(count);
  await fleet.clock.advance(20_000, STEP_MILLISECONDS);
  const { frames, bytes } = fleet.hub;
  await fleet.clock.advance(CALM_MILLISECONDS, STEP_MILLISECONDS);
  const seconds = CALM_MILLISECONDS / 1_000;
  const neighbours = [...fleet.vms.values()].map((vm) => vm.membership.neighbours.length);
  const deaths: number[] = [];
  const sentFrames = (fleet.hub.frames - frames) / seconds / count;
  const sentBytes = (fleet.hub.bytes - bytes) / seconds / count;
  for (let index = 0; index < DEATHS && fleet.vms.size > 4; index++) {
    deaths.push(await measureDeath(fleet, fleet.getName(index * 2 + 1)));
  }
  let suspicions = 0;
  for (const vm of fleet.vms.values()) {
    suspicions += await vm.count("hemlockwalk_membership_suspicions_total");
  }
  await fleet.end();
  process.stdout.write(
    `${count} VMs: neighbours ${Math.max(...neighbours)}, sent a second by each VM ` +
      `${sentFrames.toFixed(1)} frames, ${sentBytes.toFixed(0)} B; dead after ` +
      `${deaths.join(" ")} ms; suspicions ${suspicions} for ${deaths.length} deaths\n`,
  );
}

function measureOwners(): void {
  const all = Array.from({ length: 750 }, (_, index) => `vm-${index}`);
  const rounds = 20_000;
  for (const name of ["findOwner", "rankOwners"] as const) {
    const started = process.hrtime.bigint();
    for (let key = 0; key < rounds; key++) {
      if (name === "findOwner") {
        rendezvous.findOwner(`key-${key}`, all);
      } else if (key % 10 === 0) {
        rendezvous.rankOwners(`key-${key}`, all, 3);
      }
    }
    const calls = name === "findOwner" ? rounds : rounds / 10;
    const micros = Number(process.hrtime.bigint() - started) / 1_000 / calls;
    process.stdout.write(`${name} over 750 candidates: ${micros.toFixed(1)} microseconds\n`);
  }
}

measureOwners();
for (const argument of process.argv.slice(2)) {
  await measureFleet(Number(argument));
}
