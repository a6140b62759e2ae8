/**
 * Scenarios with faults of targets, and scenarios without a fault of a target.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as fixtures from "../test/fixtures.ts";
import type * as fakeTarget from "./fake_target.ts";
import type * as simulations from "./simulation.ts";

/** What happens in a run. */
export interface Scenario {
  readonly name: string;
  /** Goal for the time to detection; absent if there is nothing to detect. */
  readonly goalMilliseconds?: number;
  /** Duration of the scenario, if it differs from the default. */
  readonly lengthMilliseconds?: number;
  /** Route for which the failing target should be out of use. */
  readonly route?: model.RouteId;
  /** Whether the target should be out of use for the VMs of the first data centre only. */
  readonly firstDataCentreOnly?: boolean;
  /** Starts the fault, and returns the targets that are actually failing. */
  readonly begin: (simulation: simulations.Simulation, startedAt: number) => model.TargetId[];
}

/** The failing target in scenarios with only one. */
const FAILING_TARGET = fixtures.getTargetId(0);

function setRule(
  simulation: simulations.Simulation,
  id: model.TargetId,
  rule: fakeTarget.FaultRule,
): void {
  kernel.getDefined(simulation.targets.get(id), "Each target has a fake.").rule = rule;
}

function createFault(
  name: string,
  goalMilliseconds: number,
  rule: (startedAt: number) => fakeTarget.FaultRule,
  extra: Partial<Scenario> = {},
): Scenario {
  return {
    name,
    goalMilliseconds,
    begin: (simulation, startedAt) => {
      setRule(simulation, FAILING_TARGET, rule(startedAt));
      return [FAILING_TARGET];
    },
    ...extra,
  };
}

function createFlapping(seconds: number): Scenario {
  const half = seconds * 500;
  return createFault(`flapping every ${seconds} s`, 5_000, (startedAt) => (_call, now) => {
    const failing = Math.floor((now - startedAt) / half) % 2 === 0;
    return failing ? { kind: "refuses" } : undefined;
  });
}

function createHealthy(
  name: string,
  begin: (simulation: simulations.Simulation) => void,
  lengthMilliseconds?: number,
): Scenario {
  return {
    name,
    ...(lengthMilliseconds === undefined ? {} : { lengthMilliseconds }),
    begin: (simulation) => {
      begin(simulation);
      return [];
    },
  };
}

function getVm(simulation: simulations.Simulation, index: number): simulations.SimulatedVm {
  return kernel.getDefined(simulation.vms[index], "The fleet has as many VMs.");
}

/** The overload scenario is shorter, since it simulates many more calls. */
const OVERLOAD_MILLISECONDS = 8_000;
const HARD_GOAL_MILLISECONDS = 2_000;
const GRAY_GOAL_MILLISECONDS = 5_000;

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  createFault("refuses", HARD_GOAL_MILLISECONDS, () => () => ({ kind: "refuses" })),
  createFault("hangs", HARD_GOAL_MILLISECONDS, () => () => ({ kind: "hangs" })),
  createFault("truncates", HARD_GOAL_MILLISECONDS, () => () => ({ kind: "truncates" })),
  createFault("slow 5 times", GRAY_GOAL_MILLISECONDS, () => () => ({ kind: "slow", factor: 5 })),
  createFault("slow 10 times", GRAY_GOAL_MILLISECONDS, () => () => ({ kind: "slow", factor: 10 })),
  createFault("slow 20 times", GRAY_GOAL_MILLISECONDS, () => () => ({ kind: "slow", factor: 20 })),
  createFault(
    "errors for 30%",
    GRAY_GOAL_MILLISECONDS,
    () => () => ({ kind: "errors", share: 0.3 }),
  ),
  createFault(
    "errors for one route",
    GRAY_GOAL_MILLISECONDS,
    () => (call) => call.route === fixtures.OTHER_ROUTE ? { kind: "errors" } : undefined,
    { route: fixtures.OTHER_ROUTE },
  ),
  createFlapping(2),
  createFlapping(10),
  createFlapping(60),
  createFault(
    "failing for one data centre",
    GRAY_GOAL_MILLISECONDS,
    () => (call) => call.dataCentre === fixtures.getDataCentre(0) ? { kind: "refuses" } : undefined,
    { firstDataCentreOnly: true },
  ),
  createHealthy("calm", () => {}),
  createHealthy("calm with 3% errors", (simulation) => {
    for (const id of simulation.targets.keys()) {
      setRule(simulation, id, () => ({ kind: "errors", share: 0.03 }));
    }
  }),
  createHealthy("overload", (simulation) => {
    const { slots, rate } = simulation.size;
    // A slot runs about 38 requests per second, so this is 1.5 times the capacity of the targets.
    simulation.loadFactor = slots * 38 * 1.5 / rate;
  }, OVERLOAD_MILLISECONDS),
  createHealthy("one-way partition", (simulation) => {
    const first = fixtures.getDataCentre(0);
    const second = fixtures.getDataCentre(1);
    for (
      const target of simulation.configuration.getSnapshot()?.listTargets(fixtures.SERVICE) ??
        []
    ) {
      if (target.dataCentre === second) {
        setRule(
          simulation,
          target.id,
          (call) => call.dataCentre === first ? { kind: "hangs" } : undefined,
        );
      }
    }
    for (const from of simulation.vms) {
      for (const to of simulation.vms) {
        if (from.identity.dataCentre === second && to.identity.dataCentre === first) {
          simulation.hub.getLink(from.identity.vm, to.identity.vm).cut = true;
        }
      }
    }
  }),
  createHealthy("one VM cut off", (simulation) => {
    const { vm } = getVm(simulation, 0).identity;
    for (const id of simulation.targets.keys()) {
      setRule(simulation, id, (call) => call.vm === vm ? { kind: "resets" } : undefined);
    }
  }),
  createHealthy("VMs pause", (simulation) => {
    for (let index = 0; index < 8; index++) {
      simulation.pause(getVm(simulation, index), 8_000);
    }
  }),
  createHealthy("all targets fail", (simulation) => {
    for (const id of simulation.targets.keys()) {
      setRule(simulation, id, () => ({ kind: "errors", share: 0.7 }));
    }
  }),
];
