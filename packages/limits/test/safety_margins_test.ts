/**
 * Runs each safety margin in the scenario against which it protects: with the margin, the oracle
 * must find no excess admission; without it, the oracle must find some.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as model from "@hemlockwalk/model";
import * as limits from "../src/mod.ts";
import * as harness from "./fleet_harness.ts";

const READY_MILLISECONDS = 4_500;

/** Times around the expiry of the last votes for a coordinator that was cut off. */
const PAUSES_AFTER_CUT_MILLISECONDS = [1_200, 1_300, 1_400, 1_500, 1_600, 1_700, 1_800, 1_900];

/** A scenario that runs with the given margins. */
class Scenario {
  readonly fleet: harness.TestFleet;
  readonly workspace: model.Workspace;
  readonly clock: kernelTesting.TestClock;

  constructor(
    clock: kernelTesting.TestClock,
    margins: limits.SafetyMargins,
    rate: number,
    burst: number,
    options: Partial<harness.FleetOptions> = {},
  ) {
    this.clock = clock;
    this.workspace = harness.createWorkspace("antwerp", rate, burst);
    this.fleet = new harness.TestFleet({
      vmCount: 5,
      vmLimit: 5,
      workspaces: [this.workspace],
      margins,
      ...options,
    });
  }

  /** The VM that should coordinate the workspace according to the given members. */
  getCoordinator(members: readonly fleet.Member[] = this.fleet.listMembers()): harness.TestVm {
    return this.fleet.getCoordinator(this.workspace.id, members);
  }

  /** Sends requests to a VM at once. */
  send(vm: harness.TestVm, count: number): void {
    for (let index = 0; index < count; index++) {
      this.fleet.request(vm, this.workspace.id);
    }
  }

  /** Sends requests to some VMs every 10 ms. */
  async load(vms: readonly harness.TestVm[], milliseconds: number, count: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
      for (const vm of vms) {
        this.send(vm, count);
      }
      await this.clock.advance(10, 5);
    }
  }

  /** Cuts a VM off from some others in both directions. */
  isolate(vm: harness.TestVm, from: readonly harness.TestVm[]): void {
    for (const other of from) {
      if (other !== vm) {
        this.fleet.setCut(vm, other, true);
        this.fleet.setCut(other, vm, true);
      }
    }
  }

  getOthers(...vms: harness.TestVm[]): harness.TestVm[] {
    return this.fleet.vms.filter((vm) => vm.state === "alive" && !vms.includes(vm));
  }
}

type ScenarioRun = (
  clock: kernelTesting.TestClock,
  margins: limits.SafetyMargins,
) => Promise<Scenario>;

/** All clocks run fast by the drift that the margin allows. */
const runFastClocks: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 400, 5, { getClockSpeed: () => 1.001 });
  await clock.advance(READY_MILLISECONDS);
  await scenario.load([scenario.getCoordinator()], 20_000, 6);
  return scenario;
};

/** A VM that holds grants is paused, while requests at the coordinator use up its tokens. */
const runWakeWithOldGrants: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 200, 100);
  await clock.advance(READY_MILLISECONDS);
  const coordinator = scenario.getCoordinator();
  const holder = scenario.getOthers(coordinator)[0]!;
  await scenario.load([holder], 1_000, 1);
  scenario.fleet.pause(holder);
  await clock.advance(10_000);
  scenario.send(coordinator, 200);
  // These requests arrive before the process has handled anything else.
  scenario.send(holder, 200);
  scenario.fleet.resume(holder);
  await clock.advance(500);
  return scenario;
};

/** The coordinator is killed just after the burst was spent. */
const runCoordinatorLost: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 2, 100);
  await clock.advance(READY_MILLISECONDS + 60_000, 100);
  const coordinator = scenario.getCoordinator();
  scenario.send(coordinator, 150);
  scenario.fleet.kill(coordinator);
  scenario.fleet.publishMembers();
  await clock.advance(5_000);
  scenario.send(scenario.getCoordinator(), 150);
  return scenario;
};

/** A coordinator grants tokens until its votes expire, to a VM that spends them late. */
const runLateGrants: ScenarioRun = async (clock, margins) => {
  for (const pause of PAUSES_AFTER_CUT_MILLISECONDS) {
    const scenario = await runLateGrant(clock, margins, pause);
    if (scenario.fleet.violations > 0 || pause === PAUSES_AFTER_CUT_MILLISECONDS.at(-1)) {
      return scenario;
    }
    scenario.fleet.stop();
  }
  throw new Error("There is a last pause.");
};

async function runLateGrant(
  clock: kernelTesting.TestClock,
  margins: limits.SafetyMargins,
  pauseMilliseconds: number,
): Promise<Scenario> {
  const scenario = new Scenario(clock, margins, 400, 100);
  await clock.advance(READY_MILLISECONDS);
  const { fleet } = scenario;
  const earlier = scenario.getCoordinator();
  const members = fleet.listMembers().filter((member) => member.vm !== earlier.identity.vm);
  const later = scenario.getCoordinator(members);
  const holder = scenario.getOthers(earlier, later)[0]!;
  const rest = scenario.getOthers(earlier, holder);
  scenario.isolate(earlier, rest);
  for (const vm of rest) {
    vm.membership.set(members);
  }
  await scenario.load([holder], pauseMilliseconds, 2);
  fleet.pause(holder);
  await clock.advance(900);
  scenario.send(later, 150);
  scenario.send(holder, 150);
  fleet.resume(holder);
  await clock.advance(500);
  return scenario;
}

/** Two parts of the fleet each list only their own VMs. */
const runSplit: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 50, 50);
  await clock.advance(READY_MILLISECONDS);
  const { fleet } = scenario;
  const left = fleet.vms.slice(0, 2);
  const right = fleet.vms.slice(2);
  for (const vm of left) {
    scenario.isolate(vm, right);
  }
  for (const part of [left, right]) {
    const names = new Set(part.map((vm) => vm.identity.vm));
    for (const vm of part) {
      vm.membership.set(fleet.listMembers().filter((member) => names.has(member.vm)));
    }
  }
  await clock.advance(5_000);
  await scenario.load(fleet.vms, 5_000, 2);
  return scenario;
};

/** Three of five voters are replaced while the cut-off coordinator still holds their votes. */
const runVotersReplaced: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 100, 20);
  await clock.advance(READY_MILLISECONDS);
  const { fleet } = scenario;
  const earlier = scenario.getCoordinator();
  scenario.isolate(earlier, fleet.vms);
  for (const vm of scenario.getOthers(earlier).slice(0, 3)) {
    fleet.kill(vm);
    fleet.addVm();
  }
  const members = fleet.listMembers().filter((member) => member.vm !== earlier.identity.vm);
  for (const vm of scenario.getOthers(earlier)) {
    scenario.isolate(earlier, [vm]);
    vm.membership.set(members);
  }
  await scenario.load(scenario.getOthers(), 2_000, 2);
  return scenario;
};

/** A release note lowers the rate but does not reach the coordinator. */
const runCoordinatorBehind: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 100, 20, {
    reservedPolicy: { share: 0, minimumBurst: 0 },
  });
  await clock.advance(READY_MILLISECONDS);
  const { fleet } = scenario;
  const coordinator = scenario.getCoordinator();
  const lowered = harness.createWorkspace("antwerp", 1, 1);
  const snapshot = harness.createSnapshot(2, 5, [lowered]);
  for (const vm of scenario.getOthers(coordinator)) {
    vm.configuration.set(snapshot);
  }
  await clock.advance(limits.CONFIGURATION_GRACE_MILLISECONDS + 3_000);
  const now = kernel.getMonotonicMilliseconds();
  fleet.oracles.get(lowered.id)!.configure(lowered.rate, lowered.burst, now);
  await scenario.load(fleet.vms, 2_000, 1);
  return scenario;
};

/** A VM returns unused tokens, and then requests for the whole burst arrive. */
const runReturn: ScenarioRun = async (clock, margins) => {
  const scenario = new Scenario(clock, margins, 20, 100);
  await clock.advance(READY_MILLISECONDS + 10_000);
  const coordinator = scenario.getCoordinator();
  const holder = scenario.getOthers(coordinator)[0]!;
  await scenario.load([holder], 1_000, 1);
  await clock.advance(900);
  scenario.send(coordinator, 200);
  scenario.send(holder, 200);
  await clock.advance(500);
  return scenario;
};

interface Row {
  readonly name: string;
  readonly run: ScenarioRun;
  readonly disabled: Partial<limits.SafetyMargins>;
}

const ROWS: readonly Row[] = [
  { name: "drift", run: runFastClocks, disabled: { clockDrift: 0 } },
  { name: "grant expiry", run: runWakeWithOldGrants, disabled: { grantExpiry: false } },
  { name: "empty start", run: runCoordinatorLost, disabled: { emptyStart: false } },
  { name: "accrual after expiry", run: runLateGrants, disabled: { accrualAfterExpiry: false } },
  { name: "vote quorum", run: runSplit, disabled: { quorum: false } },
  { name: "voting wait", run: runVotersReplaced, disabled: { votingWait: false } },
  {
    name: "configuration agreement",
    run: runCoordinatorBehind,
    disabled: { configurationAgreement: false },
  },
  { name: "deduction before sending", run: runReturn, disabled: { deductionBeforeSending: false } },
];

test.describe("safety margins", () => {
  let clock: kernelTesting.TestClock;

  test.beforeEach(() => {
    clock = new kernelTesting.TestClock();
  });
  test.afterEach(() => {
    clock.restore();
  });

  for (const { name, run, disabled } of ROWS) {
    test.it(`${name}: keeps the invariant`, async () => {
      const scenario = await run(clock, limits.SAFETY_MARGINS);
      assert.equal(scenario.fleet.violations, 0);
      assert.ok(scenario.fleet.admissions > 0);
      scenario.fleet.stop();
    });

    test.it(`${name}: the oracle detects its absence`, async () => {
      const scenario = await run(clock, { ...limits.SAFETY_MARGINS, ...disabled });
      assert.ok(scenario.fleet.violations > 0, "no admission exceeded rate or burst");
      scenario.fleet.stop();
    });
  }
});
