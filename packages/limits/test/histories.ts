/**
 * Random histories of a fleet under heavy load: links are cut, VMs are paused, killed, replaced and
 * drained, member lists are out of date, release notes reach VMs at different times, the wall clock
 * is stepped, and links delay and repeat messages.
 */

import assert from "node:assert/strict";
import type * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as model from "@hemlockwalk/model";
import * as fastCheck from "fast-check";
import type * as limits from "../src/mod.ts";
import * as harness from "./fleet_harness.ts";

const VM_COUNT = 5;
const MAXIMUM_ALIVE = 6;
const VM_LIMITS = [6, 8] as const;
const STEP_MILLISECONDS = 25;
const READY_MILLISECONDS = 11_500;
const RESERVED_POLICY: limits.ReservedPolicy = { share: 0.3, minimumBurst: 60 };
const CLOCK_SPEEDS = [1, 1.0009, 0.9991] as const;

/**
 * Longest time from the last VM's change of configuration until no token of the old one is spent.
 */
const SETTLE_MILLISECONDS = 4_000;

const WORKSPACES = [
  { id: "small", rate: 5, burst: 10 },
  { id: "medium", rate: 50, burst: 40 },
  { id: "large", rate: 400, burst: 200 },
] as const;

interface Delivery {
  readonly vm: harness.TestVm;
  readonly snapshot: configuration.Snapshot;
  readonly dueMilliseconds: number;
}

interface RetiringConfiguration {
  readonly number: number;
  readonly untilMilliseconds: number;
}

/** The fleet under test, with the release notes that have not reached all VMs. */
export class History {
  readonly fleet: harness.TestFleet;
  readonly #clock: kernelTesting.TestClock;
  readonly #notes: configuration.Snapshot[] = [];
  #deliveries: Delivery[] = [];
  #retiring: RetiringConfiguration[] = [];
  #originalNow: (() => number) | undefined;

  constructor(clock: kernelTesting.TestClock, margins: limits.SafetyMargins) {
    this.#clock = clock;
    this.fleet = new harness.TestFleet({
      vmCount: VM_COUNT,
      vmLimit: VM_LIMITS[0],
      workspaces: createWorkspaces(1, 1),
      margins,
      reservedPolicy: RESERVED_POLICY,
      getClockSpeed: (index) => CLOCK_SPEEDS[index % CLOCK_SPEEDS.length] ?? 1,
    });
    this.#notes.push(this.fleet.snapshot);
  }

  async start(): Promise<void> {
    await this.#clock.advance(READY_MILLISECONDS, STEP_MILLISECONDS);
  }

  /** Advances the time; the VMs of the mask receive more requests than any rate allows. */
  async advance(milliseconds: number, mask: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      this.#deliverNotes();
      this.#updateBounds();
      this.#sendRequests(mask);
      await this.#clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
    }
    assert.equal(this.fleet.violations, 0, "Admissions exceeded rate or burst.");
  }

  /** The VM to which the index of a command refers; dead VMs are not counted. */
  pick(index: number): harness.TestVm {
    const present = this.listPresent();
    return kernel.getDefined(present[index % present.length], "The last VM is never killed.");
  }

  listPresent(): harness.TestVm[] {
    return this.fleet.vms.filter((vm) => vm.state !== "dead");
  }

  replace(index: number): void {
    this.kill(index);
    this.add();
  }

  add(): void {
    if (this.listPresent().length < MAXIMUM_ALIVE) {
      this.fleet.addVm().membership.set(this.fleet.listMembers());
    }
  }

  kill(index: number): void {
    const vm = this.pick(index);
    if (this.#isOtherStaying(vm)) {
      this.fleet.kill(vm);
    }
  }

  togglePause(index: number): void {
    const vm = this.pick(index);
    if (vm.state === "alive") {
      this.fleet.pause(vm);
    } else if (vm.state === "paused") {
      // Requests that callers sent meanwhile are handled before anything else.
      vm.state = "alive";
      this.#sendTo(vm);
      this.fleet.resume(vm);
    }
  }

  drain(index: number): void {
    const vm = this.pick(index);
    if (vm.state === "alive" && this.#isOtherStaying(vm)) {
      void this.fleet.drain(vm);
    }
  }

  publishNote(rateFactor: number, burstFactor: number, vmLimit: number, seed: number): void {
    const number = this.#notes.length + 1;
    const snapshot = harness.createSnapshot(
      number,
      vmLimit,
      createWorkspaces(rateFactor, burstFactor),
    );
    this.#notes.push(snapshot);
    this.fleet.snapshot = snapshot;
    const now = kernel.getMonotonicMilliseconds();
    for (const [index, vm] of this.listPresent().entries()) {
      const delay = (seed * (index + 1) * 977) % 7_000;
      this.#deliveries.push({ vm, snapshot, dueMilliseconds: now + delay });
    }
  }

  /** Steps the wall clock of the machine. */
  stepClock(milliseconds: number): void {
    const earlier = Date.now;
    this.#originalNow ??= earlier;
    Date.now = () => earlier() + milliseconds;
  }

  stop(): void {
    this.fleet.stop();
    if (this.#originalNow !== undefined) {
      Date.now = this.#originalNow;
    }
  }

  #isOtherStaying(vm: harness.TestVm): boolean {
    return this.listPresent().some((other) => other !== vm && other.state !== "leaving");
  }

  #sendRequests(mask: number): void {
    for (const [index, vm] of this.listPresent().entries()) {
      if ((mask >> index & 1) === 1 && (vm.state === "alive" || vm.state === "leaving")) {
        this.#sendTo(vm);
      }
    }
  }

  #sendTo(vm: harness.TestVm): void {
    for (const workspace of WORKSPACES) {
      const count = workspace.id === "large" ? 6 : 2;
      for (let request = 0; request < count; request++) {
        this.fleet.request(vm, workspace.id as model.WorkspaceId);
      }
    }
  }

  #deliverNotes(): void {
    const now = kernel.getMonotonicMilliseconds();
    const left: Delivery[] = [];
    for (const delivery of this.#deliveries) {
      if (delivery.vm.state === "paused" || delivery.dueMilliseconds > now) {
        left.push(delivery);
        continue;
      }
      const earlier = delivery.vm.configuration.getSnapshot().number;
      delivery.vm.configuration.set(delivery.snapshot);
      this.#retiring.push({ number: earlier, untilMilliseconds: now + SETTLE_MILLISECONDS });
    }
    this.#deliveries = left;
  }

  /**
   * Sets the oracles to the highest rate and burst in force, until the last VM has applied a
   * release note.
   */
  #updateBounds(): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#retiring = this.#retiring.filter((retiring) => retiring.untilMilliseconds > now);
    const numbers = new Set<number>(this.#retiring.map((retiring) => retiring.number));
    for (const vm of this.listPresent()) {
      numbers.add(vm.configuration.getSnapshot().number);
    }
    for (const [id, oracle] of this.fleet.oracles) {
      let rate = 0;
      let burst = 0;
      for (const number of numbers) {
        const workspace = this.#notes[number - 1]?.findWorkspace(id);
        rate = Math.max(rate, workspace?.rate ?? 0);
        burst = Math.max(burst, workspace?.burst ?? 0);
      }
      oracle.configure(rate, burst, now);
    }
  }
}

function createWorkspaces(rateFactor: number, burstFactor: number): model.Workspace[] {
  return WORKSPACES.map(({ id, rate, burst }) =>
    harness.createWorkspace(id, rate * rateFactor, Math.max(1, burst * burstFactor))
  );
}

interface Model {
  steps: number;
}

/** One event, followed by some time under load. */
class Step implements fastCheck.AsyncCommand<Model, History> {
  readonly #name: string;
  readonly #act: (history: History) => void;
  readonly #milliseconds: number;
  readonly #mask: number;

  constructor(
    name: string,
    act: (history: History) => void,
    [milliseconds, mask]: readonly [number, number],
  ) {
    this.#name = name;
    this.#act = act;
    this.#milliseconds = milliseconds;
    this.#mask = mask;
  }

  check(): boolean {
    return true;
  }

  async run(state: Model, history: History): Promise<void> {
    state.steps++;
    this.#act(history);
    await history.advance(this.#milliseconds, this.#mask);
  }

  toString(): string {
    return `${this.#name} then ${this.#milliseconds} ms under load ${this.#mask}`;
  }
}

const vmIndex = fastCheck.nat({ max: MAXIMUM_ALIVE - 1 });
const listMask = fastCheck.nat({ max: 63 });
const loadPeriod = fastCheck.tuple(
  fastCheck.constantFrom(25, 100, 300, 900, 2_500),
  fastCheck.constantFrom(63, 63, 0, 0, 1, 2, 4),
);

function createStep(
  name: string,
  act: (history: History, first: number, second: number) => void,
  first: fastCheck.Arbitrary<number> = vmIndex,
  second: fastCheck.Arbitrary<number> = vmIndex,
): fastCheck.Arbitrary<Step> {
  return fastCheck.tuple(first, second, loadPeriod).map(([one, two, time]) =>
    new Step(`${name}(${one}, ${two})`, (history) => act(history, one, two), time)
  );
}

function setCut(history: History, from: number, to: number, cut: boolean): void {
  history.fleet.setCut(history.pick(from), history.pick(to), cut);
}

function isolate(history: History, index: number): void {
  const vm = history.pick(index);
  for (const other of history.listPresent()) {
    history.fleet.setCut(vm, other, true);
    history.fleet.setCut(other, vm, true);
  }
}

function heal(history: History): void {
  for (const from of history.fleet.vms) {
    for (const to of history.fleet.vms) {
      history.fleet.setCut(from, to, false);
      const link = history.fleet.hub.getLink(from.identity.vm, to.identity.vm);
      link.delayMilliseconds = 1;
      link.copies = 1;
    }
  }
}

function changeLink(history: History, from: number, delayMilliseconds: number): void {
  const sender = history.pick(from);
  for (const to of history.listPresent()) {
    const link = history.fleet.hub.getLink(sender.identity.vm, to.identity.vm);
    link.delayMilliseconds = delayMilliseconds;
    link.copies = 2;
  }
}

function publishMembers(history: History, mask: number): void {
  const present = history.listPresent();
  history.fleet.publishMembers((vm) => (mask >> present.indexOf(vm) & 1) === 1);
}

const percent = fastCheck.constantFrom(20, 50, 100, 200);

const steps: readonly fastCheck.Arbitrary<Step>[] = [
  createStep("wait", () => {}),
  createStep("cut", (history, from, to) => setCut(history, from, to, true)),
  createStep("isolate", (history, index) => isolate(history, index)),
  createStep("heal", (history) => heal(history)),
  createStep("pause or resume", (history, index) => history.togglePause(index)),
  createStep("kill", (history, index) => history.kill(index)),
  createStep("replace", (history, index) => history.replace(index)),
  createStep("add", (history) => history.add()),
  createStep("list", (history, mask) => publishMembers(history, mask), listMask),
  createStep("list to all", (history) => history.fleet.publishMembers()),
  createStep("clock step", (history, milliseconds) => {
    history.stepClock(milliseconds);
  }, fastCheck.constantFrom(-3_600_000, -500, 500, 3_600_000)),
  createStep("planned stop", (history, index) => history.drain(index)),
  createStep(
    "slow link",
    (history, from, delay) => changeLink(history, from, delay),
    vmIndex,
    fastCheck.constantFrom(1, 40, 140, 700, 1_900, 5_000),
  ),
  createStep(
    "note",
    (history, rate, seed) => {
      history.publishNote(rate / 100, rate / 100, VM_LIMITS[seed % 2] ?? 6, seed);
    },
    percent,
    fastCheck.nat({ max: 1_000 }),
  ),
];

/** Generates sequences of steps. */
export function createHistories(maximumSteps: number): fastCheck.Arbitrary<
  Iterable<fastCheck.AsyncCommand<Model, History>>
> {
  return fastCheck.commands([...steps], { maxCommands: maximumSteps, size: "max" });
}

/** Runs one history. */
export async function runHistory(
  clock: kernelTesting.TestClock,
  margins: limits.SafetyMargins,
  commands: Iterable<fastCheck.AsyncCommand<Model, History>>,
): Promise<void> {
  const history = new History(clock, margins);
  try {
    await history.start();
    await fastCheck.asyncModelRun(() => ({ model: { steps: 0 }, real: history }), commands);
  } finally {
    history.stop();
  }
}
