/**
 * Tests of the budgets of one VM among others that are simulated.
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

const RATE = 15;
const BURST = 15;
const BOUNDS: proxy.ProxyBounds = {
  retryRatio: 0.2,
  retrySlack: 20,
  rateWindowSeconds: 5,
  rateExcess: 0.25,
  rateSlack: 20,
  graceMilliseconds: 6_000,
};
const PROPAGATION_MILLISECONDS = 300;

const WORKSPACE: declarations.DeclaredWorkspace = {
  id: model.createWorkspaceId("limited"),
  keys: ["key"],
  priority: undefined,
  ratePerSecond: RATE,
  burst: BURST,
};

/** A mesh in which the test plays the other VMs. */
class SimulatedMesh {
  readonly self = { vm: "self", address: "self:1" };
  size = 6;
  readonly propagationMilliseconds = PROPAGATION_MILLISECONDS;
  confirmedSequence = Number.POSITIVE_INFINITY;
  readonly sections = new Map<string, mesh.ReportSection>();

  addSection(name: string, section: mesh.ReportSection): void {
    this.sections.set(name, section);
  }

  readonly states = new Map<string, mesh.ReplicatedState>();

  addRelayExchange(): void {}

  addReplicatedState(name: string, state: mesh.ReplicatedState): void {
    this.states.set(name, state);
  }

  countInContact(): number {
    return this.size;
  }

  /** The other VMs report nothing but tokens here, so that only their number matters. */
  listOthers(): mesh.MemberIdentity[] {
    return [];
  }

  listInContact(): mesh.MemberIdentity[] {
    return [];
  }

  hasLeft(): boolean {
    return false;
  }

  urgentReports = 0;

  reportSoon(): void {
    this.urgentReports++;
  }

  /** Reports what another VM has taken of the workspace's tokens since its start. */
  report(taken: number): void {
    const from = { vm: model.createVmId("other"), incarnation: "1" } as unknown;
    const counters = { [WORKSPACE.id]: [taken, taken] };
    this.sections.get("rates")?.receive(from as mesh.MemberIdentity, { age: 1, counters });
  }
}

function createBudgets(
  others: SimulatedMesh,
  burst = BURST,
  isFirstStart = true,
): proxy.Budgets {
  const store = new declarations.DeclarationStore();
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "budgets");
  const budgets = new proxy.Budgets(
    others as unknown as mesh.Mesh,
    store,
    BOUNDS,
    isFirstStart,
    logger,
  );
  store.apply(fixtures.createDeclarations(1, { workspaces: [{ ...WORKSPACE, burst }] }));
  budgets.start();
  return budgets;
}

test.describe("budgets", () => {
  test.test("in a large fleet, single tokens do not make a report urgent", async () => {
    const clock = new kernelTesting.TestClock();
    try {
      for (const [size, urgentAfter] of [[36, 1], [292, 5]] as const) {
        const others = new SimulatedMesh();
        others.confirmedSequence = 0;
        others.size = size;
        const budgets = createBudgets(others, 60);
        await clock.advance(200);
        for (let token = 1; token <= urgentAfter; token++) {
          assert.equal(others.urgentReports, 0, `${size} VMs, before token ${token}`);
          assert.equal(budgets.takeRate(WORKSPACE), true);
        }
        assert.equal(others.urgentReports, 1, `${size} VMs`);
        budgets.stop();
      }
    } finally {
      clock.restore();
    }
  });

  test.test("a request waits for the confirmation of earlier tokens", async () => {
    const clock = new kernelTesting.TestClock();
    const others = new SimulatedMesh();
    others.confirmedSequence = 0;
    others.size = 36;
    const budgets = createBudgets(others, 60);
    try {
      await clock.advance(200);
      while (budgets.takeRate(WORKSPACE) === true);
      const waiting = budgets.takeRate(WORKSPACE);
      others.sections.get("rates")?.collect(1);
      others.confirmedSequence = 1;
      await clock.advance(50);
      assert.equal(await waiting, true);
    } finally {
      budgets.stop();
      clock.restore();
    }
  });

  test.test("a VM that stood still tells one that starts its levels of before", async () => {
    const clock = new kernelTesting.TestClock();
    const stoodStill = new SimulatedMesh();
    const budgets = createBudgets(stoodStill);
    /** The level of a VM that starts and hears the other one. */
    const startAndHear = () => {
      const starting = new SimulatedMesh();
      const started = createBudgets(starting, BURST, false);
      starting.states.get("levels")?.receive(stoodStill.states.get("levels")?.createSnapshot());
      void started.takeRate(WORKSPACE);
      started.stop();
      return started.describeRate(WORKSPACE).level ?? 0;
    };
    try {
      assert.equal(budgets.takeRate(WORKSPACE), true);
      await clock.advance(4_000);
      assert.ok(startAndHear() > 0, "levels are taken over");
      await clock.advance(4_000, 4_000);
      assert.ok(startAndHear() <= 0, "they are out of date");
      await clock.advance(PROPAGATION_MILLISECONDS + 100);
      assert.ok(startAndHear() > 0, "the reports of the others have arrived");
    } finally {
      budgets.stop();
      clock.restore();
    }
  });

  test.test("a VM that stood still waits for what the others have taken meanwhile", async () => {
    const clock = new kernelTesting.TestClock();
    try {
      const others = new SimulatedMesh();
      const budgets = createBudgets(others);
      let taken = 0;
      let waiting = 0;
      const takeAll = (attempts: number) => {
        for (let attempt = 0; attempt < attempts; attempt++) {
          const result = budgets.takeRate(WORKSPACE);
          taken += result === true ? 1 : 0;
          waiting += typeof result === "boolean" ? 0 : 1;
          if (typeof result !== "boolean") {
            void result.then((isTaken) => taken += isTaken ? 1 : 0);
          }
        }
      };
      let takenByOthers = 0;
      for (let step = 0; step < 50; step++) {
        await clock.advance(100);
        takenByOthers += RATE / 10;
        others.report(takenByOthers);
        takeAll(5);
      }
      taken = 0;
      // One step: callers' requests are handled before the reports that arrived meanwhile.
      await clock.advance(2_100, 2_100);
      takeAll(40);
      others.report(takenByOthers + BURST + RATE * 2.1);
      takeAll(40);
      await clock.advance(PROPAGATION_MILLISECONDS + 10);
      takeAll(40);
      assert.ok(waiting > 0, "requests wait for the reports");
      assert.ok(taken <= RATE * (PROPAGATION_MILLISECONDS / 1_000) + 2, `${taken} taken`);
      assert.equal(budgets.isCatchingUp, false);
      budgets.stop();
    } finally {
      clock.restore();
    }
  });

  // Guards against a VM of the version before that is not understood, and against a report that it
  // cannot read.
  test.test("reports add the requests by class behind the elements of before", async () => {
    const clock = new kernelTesting.TestClock();
    const others = new SimulatedMesh();
    const budgets = createBudgets(others);
    try {
      await clock.advance(200);
      others.report(5);
      assert.equal(budgets.takeRate(WORKSPACE, 0), true);
      assert.equal(budgets.takeRate(WORKSPACE, 2), true);
      assert.equal(budgets.describeRate(WORKSPACE).level, BURST - 5 - 2);
      const report = others.sections.get("rates")?.collect(1) as { counters: unknown };
      assert.deepEqual(report.counters, { [WORKSPACE.id]: [2, 2, 1, 0, 1] });
    } finally {
      budgets.stop();
      clock.restore();
    }
  });

  // Guards against a return time at which the caller has given up.
  test.test("a refused request returns within half of its caller's time", async () => {
    const clock = new kernelTesting.TestClock();
    const others = new SimulatedMesh();
    const budgets = createBudgets(others);
    try {
      await clock.advance(200);
      while (budgets.takeRate(WORKSPACE) === true);
      for (let refused = 0; refused < 50; refused++) {
        const seconds = budgets.takeReturnSeconds(WORKSPACE, 0, 400);
        assert.ok(seconds > 0 && seconds <= 0.2, `${seconds} s`);
      }
    } finally {
      budgets.stop();
      clock.restore();
    }
  });
});
