/**
 * Measures the propagation of a change at several fleet sizes: time, hops, messages and bytes. It
 * uses the in-memory network and the test clock, so all figures are determined by the seed.
 *
 * Run after a build: `node packages/configuration/dist/bench/relay.js [seed] [sizes...]`.
 */

import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as configuration from "../src/mod.ts";
import * as fleetWorld from "../test/fleet_world.ts";
import * as generators from "../test/note_generators.ts";

const DEFAULT_SIZES = [5, 10, 20, 40];
const CHANGES = 10;

/** Longer than all other delays, so that the number of hops follows from the arrival time. */
const LINK_MILLISECONDS = 20;

const BETWEEN_CHANGES_MILLISECONDS = 5_000;
const IDLE_MILLISECONDS = 60_000;

/** Creates the contents of a typical note. */
function createContent(index: number): generators.NoteContent {
  const digest = model.createKeyDigest(`bench-${index}`);
  return { added: { keys: [{ digest, workspace: "w0" }] }, changed: {}, withdrawn: {} };
}

interface Traffic {
  readonly frames: number;
  readonly bytes: number;
  readonly calls: number;
}

function getTraffic(world: fleetWorld.FleetWorld): Traffic {
  const { frames, bytes } = world.hub;
  return { frames, bytes, calls: world.platform.calls };
}

function subtract(left: Traffic, right: Traffic): Traffic {
  return {
    frames: left.frames - right.frames,
    bytes: left.bytes - right.bytes,
    calls: left.calls - right.calls,
  };
}

async function measure(size: number, seed: number): Promise<void> {
  const world = new fleetWorld.FleetWorld(seed);
  for (let index = 0; index < size; index++) {
    await world.start(`vm-${index}`);
  }
  for (const from of world.vms.values()) {
    for (const to of world.vms.values()) {
      world.hub.getLink(from.identity.vm, to.identity.vm).delayMilliseconds = LINK_MILLISECONDS;
    }
  }
  let predecessor: { number: number; digest: string } | undefined;
  const publish = (content: generators.NoteContent) => {
    const text = generators.writeNote(predecessor, content);
    const number = (predecessor?.number ?? 0) + 1;
    predecessor = { number, digest: model.createNoteDigest(text) };
    world.platform.publish(configuration.getNoteKey(number), text);
    return text.length;
  };
  publish(generators.FIRST_CONTENT);
  await world.clock.advance(10_000);

  const idleStart = getTraffic(world);
  await world.clock.advance(IDLE_MILLISECONDS);
  const idle = subtract(getTraffic(world), idleStart);
  const idleSeconds = IDLE_MILLISECONDS / 1_000;

  const arrivals = new Map<string, number>();
  for (const [name, vm] of world.vms) {
    vm.configuration.onChange((change) => {
      arrivals.set(`${name} ${change.current.number}`, kernel.getMonotonicMilliseconds());
    });
  }
  const delays: number[] = [];
  const start = getTraffic(world);
  let noteBytes = 0;
  for (let index = 0; index < CHANGES; index++) {
    const published = kernel.getMonotonicMilliseconds();
    noteBytes = publish(createContent(index));
    await world.clock.advance(BETWEEN_CHANGES_MILLISECONDS, 5);
    for (const name of world.vms.keys()) {
      const arrival = arrivals.get(`${name} ${predecessor?.number}`) ?? Infinity;
      delays.push(arrival - published);
    }
  }
  const traffic = subtract(getTraffic(world), start);
  const seconds = CHANGES * BETWEEN_CHANGES_MILLISECONDS / 1_000;
  delays.sort((left, right) => left - right);
  const percentile99 = delays[Math.ceil(delays.length * 0.99) - 1] ?? Infinity;
  const worst = delays.at(-1) ?? Infinity;
  const frames = traffic.frames / CHANGES - idle.frames / idleSeconds * (seconds / CHANGES);
  const bytes = traffic.bytes / CHANGES - idle.bytes / idleSeconds * (seconds / CHANGES);
  const columns = [
    size,
    noteBytes,
    `${(delays[delays.length >> 1] ?? 0).toFixed(0)} ms`,
    `${percentile99.toFixed(0)} ms`,
    `${worst.toFixed(0)} ms`,
    Math.floor(percentile99 / LINK_MILLISECONDS),
    (frames / size).toFixed(1),
    (bytes / size).toFixed(0),
    (idle.frames / idleSeconds / size).toFixed(1),
    (idle.bytes / idleSeconds / size).toFixed(0),
    (idle.calls / idleSeconds).toFixed(2),
  ];
  process.stdout.write(`| ${columns.join(" | ")} |\n`);
  await world.close();
}

const [seed = "1", ...sizes] = process.argv.slice(2);
process.stdout.write(
  "| VMs | note bytes | median delay | 99% delay | worst delay | hops for 99% | " +
    "frames per VM and change | bytes per VM and change | idle frames per VM and second | " +
    "idle bytes per VM and second | idle platform calls per second |\n",
);
for (const size of sizes.length > 0 ? sizes.map(Number) : DEFAULT_SIZES) {
  await measure(size, Number(seed));
}
