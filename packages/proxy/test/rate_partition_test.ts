/**
 * Tests of a workspace's rate over the budgets of a whole fleet whose data centres lose each other
 * for longer than the mesh tracks a VM.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";

const STEP_MILLISECONDS = 50;
const REPORT_MILLISECONDS = 100;
const PROPAGATION_MILLISECONDS = 300;

/** Times without a report after which a VM is out of contact and no longer tracked, as in the mesh. */
const CONTACT_MILLISECONDS = 800;
const TRACKED_MILLISECONDS = 3_500;

const DATA_CENTRES = 3;
const RATE = 60;
const BURST = 60;
const WINDOW_MILLISECONDS = 5_000;
const BOUNDS: proxy.ProxyBounds = {
  retryRatio: 0.2,
  retrySlack: 20,
  rateWindowSeconds: WINDOW_MILLISECONDS / 1_000,
  rateExcess: 0.25,
  rateSlack: 20,
  graceMilliseconds: 6_000,
};

/** The most requests of the workspace that may run in 5 s. */
const MAX_IN_WINDOW = (RATE * BOUNDS.rateWindowSeconds + BURST) * (1 + BOUNDS.rateExcess) +
  BOUNDS.rateSlack;

const WORKSPACE: declarations.DeclaredWorkspace = {
  id: model.createWorkspaceId("limited"),
  keys: ["key"],
  priority: undefined,
  ratePerSecond: RATE,
  burst: BURST,
};

/** Budgets of one VM, and its view of the others. */
class SimulatedVm {
  readonly sections = new Map<string, mesh.ReportSection>();
  readonly states = new Map<string, mesh.ReplicatedState>();
  readonly propagationMilliseconds = PROPAGATION_MILLISECONDS;
  readonly budgets: proxy.Budgets;
  confirmedSequence = 0;
  isReportDue = false;

  constructor(
    readonly self: mesh.MemberIdentity,
    readonly fleet: SimulatedFleet,
    isFirstStart: boolean,
  ) {
    const store = new declarations.DeclarationStore();
    const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "budgets");
    const vmMesh = this as unknown as mesh.Mesh;
    this.budgets = new proxy.Budgets(vmMesh, store, BOUNDS, isFirstStart, logger);
    store.apply(fixtures.createDeclarations(1, { workspaces: [WORKSPACE] }));
    this.budgets.start();
  }

  addSection(name: string, section: mesh.ReportSection): void {
    this.sections.set(name, section);
  }

  addRelayExchange(): void {}

  addReplicatedState(name: string, state: mesh.ReplicatedState): void {
    this.states.set(name, state);
  }

  get size(): number {
    return this.listOthers().length + 1;
  }

  listOthers(): mesh.MemberIdentity[] {
    return this.fleet.listHeard(this, TRACKED_MILLISECONDS);
  }

  listInContact(): mesh.MemberIdentity[] {
    return this.fleet.listHeard(this, CONTACT_MILLISECONDS);
  }

  countInContact(): number {
    return this.listInContact().length + 1;
  }

  hasLeft({ vm }: Pick<mesh.MemberIdentity, "vm">): boolean {
    return this.fleet.left.has(vm);
  }

  reportSoon(): void {
    this.isReportDue = true;
  }
}

interface SentReport {
  readonly at: number;
  readonly from: SimulatedVm;
  readonly payload: unknown;
}

/** A fleet on a test clock whose first data centre can be cut off from the others. */
class SimulatedFleet {
  readonly admittedAt: number[] = [];
  readonly left = new Set<model.VmId>();
  readonly #clock: kernelTesting.TestClock;
  readonly #startedAt: number;
  #vms: SimulatedVm[] = [];
  /** VMs that have disappeared, and when. */
  #gone: { readonly vm: SimulatedVm; readonly at: number }[] = [];
  #reports: SentReport[] = [];
  #partitionedAt: number | undefined;
  #sequence = 0;
  #incarnation = 0;
  #fraction = 0;

  constructor(clock: kernelTesting.TestClock, size: number) {
    this.#clock = clock;
    this.#startedAt = clock.monotonicMilliseconds;
    for (let index = 0; index < size; index++) {
      this.#start(index, true);
    }
  }

  /** Time since the start of the fleet, in milliseconds. */
  get now(): number {
    return this.#clock.monotonicMilliseconds - this.#startedAt;
  }

  /** Runs for a time with a steady number of requests a second, which arrive at each VM in turn. */
  async run(milliseconds: number, requestsPerSecond: number): Promise<void> {
    for (const end = this.now + milliseconds; this.now < end;) {
      await this.#clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
      this.#deliver();
      this.#fraction += requestsPerSecond * STEP_MILLISECONDS / 1_000;
      for (; this.#fraction >= 1; this.#fraction--) {
        this.#request();
      }
      for (const vm of this.#vms) {
        if (vm.isReportDue || this.now % REPORT_MILLISECONDS === 0) {
          this.#report(vm);
        }
      }
    }
  }

  setPartitioned(isPartitioned: boolean): void {
    this.#partitionedAt = isPartitioned ? this.now : undefined;
  }

  /** VMs disappear without notice. */
  kill(indexes: readonly number[]): void {
    this.#remove(indexes);
  }

  /** VMs announce that they leave. */
  drain(indexes: readonly number[]): void {
    this.#remove(indexes).forEach(({ self }) => this.left.add(self.vm));
  }

  /** Starts VMs anew. */
  restart(indexes: readonly number[]): void {
    const added = indexes.map((index) => this.#start(index, false));
    this.#gone = this.#gone.filter(({ vm }) =>
      added.every((other) => other.self.vm !== vm.self.vm)
    );
    for (const vm of added) {
      const neighbour = this.#vms.find((other) =>
        !added.includes(other) && this.#isReachable(other, vm)
      );
      vm.states.get("levels")?.receive(neighbour?.states.get("levels")?.createSnapshot());
    }
  }

  stop(): void {
    this.#vms.forEach(({ budgets }) => budgets.stop());
  }

  /** Members that a VM has heard within a time. */
  listHeard(vm: SimulatedVm, milliseconds: number): mesh.MemberIdentity[] {
    const isCutOff = this.#partitionedAt !== undefined &&
      this.now - this.#partitionedAt >= milliseconds;
    const recent = this.#gone.filter(({ at }) => this.now - at < milliseconds);
    return [...this.#vms, ...recent.map((gone) => gone.vm)]
      .filter((other) =>
        other !== vm && !this.left.has(other.self.vm) && !(isCutOff && !this.#isNear(other, vm))
      )
      .map(({ self }) => self);
  }

  countIn(from: number, to: number): number {
    return this.admittedAt.filter((at) => at >= from && at < to).length;
  }

  /** The most admissions within the window of the bound. */
  countBusiestWindow(): number {
    return Math.max(
      ...this.admittedAt.map((at, index) => {
        const next = this.admittedAt.findIndex((later) => later >= at + WINDOW_MILLISECONDS);
        return (next < 0 ? this.admittedAt.length : next) - index;
      }),
    );
  }

  #start(index: number, isFirstStart: boolean): SimulatedVm {
    const self = {
      vm: model.createVmId(`vm-${index}`),
      incarnation: String(++this.#incarnation) as model.Incarnation,
      dataCentre: model.createDataCentreId(`dc-${index % DATA_CENTRES}`),
      address: `vm-${index}:1`,
      tag: index,
      capacity: 1,
    };
    const vm = new SimulatedVm(self, this, isFirstStart);
    this.#vms.push(vm);
    return vm;
  }

  #remove(indexes: readonly number[]): SimulatedVm[] {
    const removed = this.#vms.filter(({ self }) => indexes.includes(self.tag));
    removed.forEach(({ budgets }) => budgets.stop());
    this.#vms = this.#vms.filter((vm) => !removed.includes(vm));
    this.#gone.push(...removed.map((vm) => ({ vm, at: this.now })));
    return removed;
  }

  #isNear(left: SimulatedVm, right: SimulatedVm): boolean {
    return (left.self.tag % DATA_CENTRES === 0) === (right.self.tag % DATA_CENTRES === 0);
  }

  #isReachable(left: SimulatedVm, right: SimulatedVm): boolean {
    return this.#partitionedAt === undefined || this.#isNear(left, right);
  }

  #request(): void {
    const vm = this.#vms.shift() ?? assert.fail();
    this.#vms.push(vm);
    const count = (isAdmitted: boolean) => {
      if (isAdmitted) {
        this.admittedAt.push(this.now);
      }
    };
    const result = vm.budgets.takeRate(WORKSPACE);
    if (typeof result === "boolean") {
      count(result);
    } else {
      void result.then(count);
    }
  }

  #report(vm: SimulatedVm): void {
    vm.isReportDue = false;
    vm.confirmedSequence = this.#sequence;
    const payload = vm.sections.get("rates")?.collect(++this.#sequence);
    if (payload !== undefined) {
      this.#reports.push({ at: this.now + REPORT_MILLISECONDS, from: vm, payload });
    }
  }

  #deliver(): void {
    const due = this.#reports.filter(({ at }) => at <= this.now);
    this.#reports = this.#reports.filter(({ at }) => at > this.now);
    for (const { from, payload } of due) {
      for (const vm of this.#vms) {
        if (vm !== from && this.#isReachable(from, vm)) {
          vm.sections.get("rates")?.receive(from.self, payload);
        }
      }
    }
  }
}

async function withFleet(
  size: number,
  run: (fleet: SimulatedFleet) => Promise<void>,
): Promise<void> {
  const clock = new kernelTesting.TestClock();
  const fleet = new SimulatedFleet(clock, size);
  try {
    await run(fleet);
  } finally {
    fleet.stop();
    clock.restore();
  }
}

function checkBound(fleet: SimulatedFleet): void {
  const most = fleet.countBusiestWindow();
  assert.ok(most <= MAX_IN_WINDOW, `${most} in 5 s, at most ${MAX_IN_WINDOW} are allowed`);
}

/** Two standard deviations of a second's admissions; a deviation is corrected within about a second. */
const NOISE = 2 * Math.sqrt(RATE);

/** Checks that each window of 5 s in a time has the rate, within the target of 0.95. */
function checkRate(fleet: SimulatedFleet, from: number, to: number, share = 1): void {
  for (let at = from; at + WINDOW_MILLISECONDS <= to; at += 500) {
    const owed = RATE * share * WINDOW_MILLISECONDS / 1_000;
    const admitted = fleet.countIn(at, at + WINDOW_MILLISECONDS);
    assert.ok(
      admitted >= 0.95 * owed - NOISE && admitted <= owed + NOISE,
      `${admitted} of ${owed} from ${at} ms`,
    );
  }
}

test.describe("a workspace's rate in a fleet whose data centres lose each other", () => {
  for (const seconds of [30, 60]) {
    // Guards against VMs out of contact that are forgotten, so that each part has the whole rate.
    test.test(`keeps to the bound over ${seconds} s, and is whole afterwards`, async () => {
      await withFleet(12, async (fleet) => {
        await fleet.run(3_000, RATE * 3);
        fleet.setPartitioned(true);
        await fleet.run(seconds * 1_000, RATE * 3);
        fleet.setPartitioned(false);
        const mergedAt = fleet.now;
        await fleet.run(12_000, RATE * 3);
        checkBound(fleet);
        checkRate(fleet, mergedAt - 20_000, mergedAt);
        checkRate(fleet, mergedAt + 2_000, mergedAt + 12_000);
      });
    });
  }

  // Guards against a burst that each part spends once.
  test.test("has one burst for both parts after it was idle", async () => {
    await withFleet(12, async (fleet) => {
      await fleet.run(3_000, 1);
      fleet.setPartitioned(true);
      await fleet.run(30_000, 1);
      await fleet.run(5_000, RATE * 5);
      fleet.setPartitioned(false);
      await fleet.run(10_000, RATE * 5);
      const total = RATE * 5 + BURST;
      const most = fleet.countBusiestWindow();
      assert.ok(most <= total * 1.05, `${most} in 5 s, about ${total} are owed`);
    });
  });

  // Guards against VMs that start in one part and take it for the whole fleet.
  test.test("keeps to the bound while half of the VMs of a part start anew", async () => {
    await withFleet(24, async (fleet) => {
      const firstPart = Array.from({ length: 8 }, (_, index) => index * DATA_CENTRES);
      await fleet.run(3_000, RATE * 3);
      fleet.setPartitioned(true);
      await fleet.run(20_000, RATE * 3);
      fleet.kill(firstPart.slice(0, 4));
      await fleet.run(3_000, RATE * 3);
      fleet.restart(firstPart.slice(0, 4));
      await fleet.run(15_000, RATE * 3);
      checkBound(fleet);
      checkRate(fleet, fleet.now - 10_000, fleet.now);
    });
  });

  // Guards against shares that are withheld for VMs that are known not to run.
  test.test("is whole for the others once VMs have left, and after killed ones are back", async () => {
    await withFleet(12, async (fleet) => {
      await fleet.run(5_000, RATE * 3);
      fleet.drain([0, 1, 2]);
      await fleet.run(10_000, RATE * 3);
      checkRate(fleet, 7_000, fleet.now);
      fleet.kill([3, 4, 5, 6]);
      await fleet.run(3_000, RATE * 3);
      fleet.restart([3, 4, 5, 6]);
      const restartedAt = fleet.now;
      await fleet.run(12_000, RATE * 3);
      checkRate(fleet, restartedAt + 2_000, fleet.now);
      checkBound(fleet);
    });
  });

  // Guards against VMs that are lost without notice and cut off, each taking itself for the fleet.
  test.test("keeps the share of VMs that are lost without notice", async () => {
    await withFleet(12, async (fleet) => {
      await fleet.run(5_000, RATE * 3);
      fleet.kill([0, 1, 2]);
      await fleet.run(40_000, RATE * 3);
      checkRate(fleet, 20_000, fleet.now, 0.75);
    });
  });
});
