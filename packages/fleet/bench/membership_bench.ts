/**
 * Measures the membership on the test clock: traffic for each VM while nothing changes, the time
 * until a dead VM has left all views, and the speed of rendezvous hashing. Arguments: fleet sizes,
 * or `disturbances`.
 */

import process from "node:process";
import * as rendezvous from "../src/rendezvous.ts";
import * as simulation from "../test/simulated_fleet.ts";

const IDLE_MILLISECONDS = 60_000;
const STEP_MILLISECONDS = 10;
const DEATHS = 5;
const DEATH_TIMEOUT_MILLISECONDS = 60_000;
const DISTURBED_VMS = 20;
const DISTURBED_DATA_CENTRES = 3;
const CUTS = 20;
const PAUSES_MILLISECONDS = [500, 1_000, 2_000, 4_000, 8_000] as const;

async function measureDeath(fleet: simulation.SimulatedFleet, name: string): Promise<number> {
  await fleet.kill(name);
  const expectedView = fleet.describeExpectedView();
  let waited = 0;
  while (waited < DEATH_TIMEOUT_MILLISECONDS) {
    if ([...fleet.vms.values()].every((vm) => vm.describeView() === expectedView)) {
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
  await fleet.clock.advance(IDLE_MILLISECONDS, STEP_MILLISECONDS);
  const seconds = IDLE_MILLISECONDS / 1_000;
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
    `${count} VMs: neighbours ${Math.max(...neighbours)}, sent per second by each VM ` +
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

/**
 * Measures suspicions under one-way cuts between random VMs, of 20 s each, and pauses of one VM.
 */
async function measureDisturbances(): Promise<void> {
  const fleet = new simulation.SimulatedFleet(DISTURBED_DATA_CENTRES);
  await fleet.start(DISTURBED_VMS);
  await fleet.clock.advance(20_000, STEP_MILLISECONDS);
  const countAll = async () => {
    let suspicions = 0;
    let deaths = 0;
    for (const vm of fleet.vms.values()) {
      suspicions += await vm.count("hemlockwalk_membership_suspicions_total");
      deaths += await vm.count("hemlockwalk_membership_deaths_total");
    }
    return `suspicions ${suspicions}, departures from views ${deaths}`;
  };
  for (let cut = 0; cut < CUTS; cut++) {
    const from = fleet.getName(Math.floor(Math.random() * DISTURBED_VMS));
    const to = fleet.getName(Math.floor(Math.random() * DISTURBED_VMS));
    fleet.setCut(from, to, true);
    await fleet.clock.advance(20_000, STEP_MILLISECONDS);
    fleet.setCut(from, to, false);
  }
  process.stdout.write(`${CUTS} one-way cuts of 20 s, one at a time: ${await countAll()}\n`);
  for (const pause of PAUSES_MILLISECONDS) {
    fleet.pause(fleet.getName(3));
    await fleet.clock.advance(pause, STEP_MILLISECONDS);
    fleet.resume(fleet.getName(3));
    await fleet.clock.advance(20_000, STEP_MILLISECONDS);
    process.stdout.write(`so far, after a pause of ${pause} ms: ${await countAll()}\n`);
  }
  await fleet.end();
}

measureOwners();
if (process.argv.length > 2 && process.argv[2] === "disturbances") {
  await measureDisturbances();
  process.exit(0);
}
for (const argument of process.argv.slice(2)) {
  await measureFleet(Number(argument));
}
