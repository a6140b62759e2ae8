/**
 * Runs random histories of a fleet, and compares the VMs with the list of published notes.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fastCheck from "fast-check";
import * as configuration from "../src/mod.ts";
import * as fleetWorld from "./fleet_world.ts";
import * as fullCheck from "./full_check.ts";
import * as generators from "./note_generators.ts";

/** Time within which a note in force on one VM must be in force on all VMs reachable from it. */
const PROPAGATION_BOUND_MILLISECONDS = 4_000;

/** Time for recovery after faults end, which includes pending retries and fallback intervals. */
const RECOVERY_MILLISECONDS = 12_000;

const VM_COUNT = 5;

/** The oracle: the expected state after each published note. */
interface Published {
  readonly states: fullCheck.PlainState[];
  /** Number of writes to the platform after each note. */
  readonly writes: number[];
}

type Command = fastCheck.AsyncCommand<Published, fleetWorld.FleetWorld>;

/** A command without a precondition, followed by a check of the invariants. */
abstract class WorldCommand implements Command {
  check(): boolean {
    return true;
  }

  async run(published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    await this.act(published, world);
    checkInvariants(published, world);
  }

  protected abstract act(published: Published, world: fleetWorld.FleetWorld): Promise<void>;

  abstract toString(): string;
}

/** Checks the invariants that hold at all times. */
function checkInvariants(published: Published, world: fleetWorld.FleetWorld): void {
  world.assertForwardOnly(published.states);
  for (const vm of world.vms.values()) {
    const snapshot = vm.configuration.getSnapshot();
    const state = published.states[(snapshot?.number ?? 0) - 1];
    for (let index = 0; index < 6 && snapshot !== undefined; index++) {
      const digest = generators.createTestKeyDigest(index);
      assert.deepEqual(snapshot.findKey(digest), state?.tables.keys.get(digest));
    }
    assert.deepEqual(vm.configuration.getStatus?.().forks, []);
  }
}

/** Publishes a note. One that the full check refuses is also published, and must have no effect. */
class Publish extends WorldCommand {
  readonly #content: generators.NoteContent;

  constructor(content: generators.NoteContent) {
    super();
    this.#content = content;
  }

  protected async act(published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const current = published.states.at(-1);
    const content = current === undefined ? generators.FIRST_CONTENT : this.#content;
    const text = generators.writeNote(current, content);
    const next = fullCheck.applyNoteText(current, text);
    world.platform.publish(configuration.getNoteKey((current?.number ?? 0) + 1), text);
    if (next.isOk()) {
      published.states.push(next.value);
      const head = configuration.createHeadText(next.value.number, next.value.digest);
      world.platform.publish(configuration.HEAD_KEY, head);
      published.writes.push(world.platform.writes);
    }
    await world.clock.advance(100);
  }

  toString(): string {
    return `publish(${JSON.stringify(this.#content)})`;
  }
}

/** Publishes an invalid text under the next number, which no VM may accept. */
class PublishInvalid extends WorldCommand {
  readonly #kind: string;

  constructor(kind: string) {
    super();
    this.#kind = kind;
  }

  protected async act(published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const current = published.states.at(-1);
    const valid = generators.writeNote(current, generators.FIRST_CONTENT);
    const next = (current?.number ?? 0) + 1;
    const texts: Record<string, string> = {
      torn: valid.slice(0, valid.length >> 1),
      oversized: valid.replace("{", `{"title":"${"x".repeat(model.MAXIMUM_NOTE_BYTES)}",`),
      format: valid.replace('"format":1', '"format":2'),
      number: generators.writeNote({ number: next, digest: "0".repeat(64) }, { ...NOTHING }),
    };
    world.platform.publish(configuration.getNoteKey(next), texts[this.#kind] ?? "");
    await world.clock.advance(100);
  }

  toString(): string {
    return `publishInvalid(${this.#kind})`;
  }
}

const NOTHING: generators.NoteContent = { added: {}, changed: {}, withdrawn: {} };

/** Changes how the platform responds to a VM. */
class SetPlatform extends WorldCommand {
  readonly #vm: number;
  readonly #kind: "normal" | "unreachable" | "silent" | "torn" | "stale";

  constructor(vm: number, kind: "normal" | "unreachable" | "silent" | "torn" | "stale") {
    super();
    this.#vm = vm;
    this.#kind = kind;
  }

  protected async act(published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const writes = published.writes.at(-2) ?? 0;
    const view = this.#kind === "stale" ? { kind: this.#kind, writes } : { kind: this.#kind };
    const name = getName(world, this.#vm);
    world.platform.setView(name, view);
    await world.clock.advance(50);
  }

  toString(): string {
    return `platform(${this.#vm}, ${this.#kind})`;
  }
}

/** Cuts or restores the link from one VM to another. */
class SetCut extends WorldCommand {
  readonly #from: number;
  readonly #to: number;
  readonly #cut: boolean;

  constructor(from: number, to: number, cut: boolean) {
    super();
    this.#from = from;
    this.#to = to;
    this.#cut = cut;
  }

  protected async act(_published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    world.setCut(getName(world, this.#from), getName(world, this.#to), this.#cut);
    await world.clock.advance(50);
  }

  toString(): string {
    return `${this.#cut ? "cut" : "restore"}(${this.#from}, ${this.#to})`;
  }
}

/** Pauses or resumes the delivery of messages to a VM. */
class Pause extends WorldCommand {
  readonly #vm: number;

  constructor(vm: number) {
    super();
    this.#vm = vm;
  }

  protected async act(_published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const name = getName(world, this.#vm);
    if (world.paused.delete(name)) {
      world.hub.resume(model.createVmId(name));
    } else {
      world.paused.add(name);
      world.hub.pause(model.createVmId(name));
    }
    await world.clock.advance(50);
  }

  toString(): string {
    return `pauseOrResume(${this.#vm})`;
  }
}

/** Restarts a VM without its state, under its own name or a new one. */
class Restart extends WorldCommand {
  readonly #vm: number;
  readonly #replaced: boolean;

  constructor(vm: number, replaced: boolean) {
    super();
    this.#vm = vm;
    this.#replaced = replaced;
  }

  protected async act(_published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const old = getName(world, this.#vm);
    const name = this.#replaced ? `vm-${Number(old.slice(3)) + VM_COUNT}` : old;
    await world.stop(old);
    const vm = await world.start(name);
    // A VM that is ready must have at least what the directly reachable peers have now.
    const minimum = Math.max(
      0,
      ...[...world.vms.keys()].filter((other) => other !== name && world.areLinked(name, other))
        .map((other) => world.getNumber(other)),
    );
    for (let step = 0; step < 30; step++) {
      await world.clock.advance(100);
      const number = world.getNumber(name);
      assert.ok(
        !vm.configuration.isReady() || number >= minimum,
        `ready at ${number} of ${minimum}`,
      );
    }
  }

  toString(): string {
    return `${this.#replaced ? "replace" : "restart"}(${this.#vm})`;
  }
}

/** Checks that a note in force on one VM is in force on all reachable VMs within the bound. */
class CheckPropagation extends WorldCommand {
  protected async act(_published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    const names = [...world.vms.keys()];
    const numbers = new Map(names.map((name) => [name, world.getNumber(name)]));
    await world.clock.advance(PROPAGATION_BOUND_MILLISECONDS);
    for (const [name, number] of numbers) {
      for (const reached of world.listReachable(name)) {
        const actual = world.getNumber(reached);
        assert.ok(actual >= number, `${reached} has ${actual}, ${name} had ${number}`);
      }
    }
  }

  toString(): string {
    return "checkPropagation";
  }
}

/** Ends all faults, and checks that all published notes come into force on all VMs. */
class HealAll extends WorldCommand {
  protected async act(published: Published, world: fleetWorld.FleetWorld): Promise<void> {
    heal(world);
    await world.clock.advance(RECOVERY_MILLISECONDS);
    for (const name of world.vms.keys()) {
      assert.equal(world.getNumber(name), published.states.length, name);
    }
  }

  toString(): string {
    return "healAll";
  }
}

function heal(world: fleetWorld.FleetWorld): void {
  world.platform.heal();
  for (const left of world.vms.keys()) {
    for (const right of world.vms.keys()) {
      world.setCut(left, right, false);
    }
  }
  for (const name of world.paused) {
    world.hub.resume(model.createVmId(name));
  }
  world.paused.clear();
}

function getName(world: fleetWorld.FleetWorld, index: number): string {
  return [...world.vms.keys()][index % world.vms.size] ?? "";
}

const vmIndex = fastCheck.integer({ min: 0, max: VM_COUNT - 1 });

const commands = fastCheck.commands([
  generators.noteContent.map((content) => new Publish(content)),
  generators.noteContent.map((content) => new Publish(content)),
  fastCheck.constantFrom("torn", "oversized", "format", "number")
    .map((kind) => new PublishInvalid(kind)),
  fastCheck.tuple(
    vmIndex,
    fastCheck.constantFrom("normal", "unreachable", "silent", "torn", "stale"),
  ).map(([vm, kind]) => new SetPlatform(vm, kind)),
  fastCheck.tuple(vmIndex, vmIndex, fastCheck.boolean())
    .map(([from, to, cut]) => new SetCut(from, to, cut)),
  vmIndex.map((vm) => new Pause(vm)),
  fastCheck.tuple(vmIndex, fastCheck.boolean())
    .map(([vm, replaced]) => new Restart(vm, replaced)),
  fastCheck.constant(new CheckPropagation()),
  fastCheck.constant(new HealAll()),
], { maxCommands: 30, size: "max" });

async function runHistory(seed: number, history: Iterable<Command>): Promise<void> {
  const world = new fleetWorld.FleetWorld(seed);
  try {
    for (let index = 0; index < VM_COUNT; index++) {
      await world.start(`vm-${index}`);
    }
    const setup = () => ({ model: { states: [], writes: [] }, real: world });
    await fastCheck.asyncModelRun(setup, [...history, new HealAll()]);
  } finally {
    await world.close();
  }
}

test.describe("configuration of a fleet", () => {
  test.it("agrees with the list of published notes over random histories", async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.nat({ max: 1_000 }), commands, runHistory),
      kernelTesting.getRandomRuns(31, 25),
    );
  });
});
