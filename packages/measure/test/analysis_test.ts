/**
 * Checks the measuring code itself: the oracle's token bucket, the detection of avoided targets,
 * and scenario files.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as deployments from "../src/deployments.ts";
import * as detection from "../src/experiment/detection.ts";
import * as oracle from "../src/experiment/oracle.ts";
import * as scenarios from "../src/scenario.ts";
import type * as types from "../src/types.ts";

const SMALLEST_WORKSPACE = 7;

function getDeployment(): types.DeploymentPlan {
  const deployment = deployments.DEPLOYMENTS.get("pitchwise");
  assert.ok(deployment !== undefined);
  return deployment;
}

function createRecord(startMilliseconds: number, reason: string): types.RequestRecord {
  return {
    id: 1,
    workspace: SMALLEST_WORKSPACE,
    service: 0,
    idempotent: true,
    startMilliseconds,
    latencyMilliseconds: 1,
    status: reason === "" ? 200 : 429,
    reason,
    run: reason === "" ? "" : "no",
    complete: true,
    mixed: false,
  };
}

function createPeriodicRecords(count: number, everyMilliseconds: number, reason = "") {
  return Array.from(
    { length: count },
    (_, index) => createRecord(index * everyMilliseconds, reason),
  );
}

test.describe("oracle token bucket", () => {
  test.it("refuses nothing at the rate and counts refusals by the fleet", () => {
    // The smallest workspace has 2 requests a second and a burst of 4.
    const records = [...createPeriodicRecords(20, 500), createRecord(10_000, "over_rate")];
    const result = oracle.evaluateWorkspace(getDeployment(), SMALLEST_WORKSPACE, records);
    assert.equal(result.refusedByOracle, 0);
    assert.equal(result.refusedByFleet, 1);
    assert.equal(result.overshoot, 0);
  });

  test.it("measures admissions beyond rate and burst", () => {
    const records = createPeriodicRecords(10, 0);
    const result = oracle.evaluateWorkspace(getDeployment(), SMALLEST_WORKSPACE, records);
    assert.equal(result.refusedByOracle, 6);
    assert.equal(result.overshoot, 6);
  });
});

test.describe("detection", () => {
  function createAttempts(avoidedAfter: number): types.AttemptRecord[] {
    const attempts: types.AttemptRecord[] = [];
    for (let time = 0; time < 10_000; time += 10) {
      const target = time / 10 % 2 === 0 && time < avoidedAfter ? "desk-1" : "desk-2";
      attempts.push({ target, startMilliseconds: time });
    }
    return attempts;
  }

  test.it("is the time until the target receives almost no requests", () => {
    const found = detection.getDetectionMilliseconds(
      createAttempts(3_000),
      "desk-1",
      2,
      1_000,
      9_000,
    );
    assert.ok(found !== undefined && found >= 1_500 && found <= 2_000, String(found));
  });

  test.it("is undefined for a target that is never avoided", () => {
    const attempts = createAttempts(Number.POSITIVE_INFINITY);
    assert.equal(
      detection.getDetectionMilliseconds(attempts, "desk-1", 2, 1_000, 9_000),
      undefined,
    );
  });
});

test.describe("scenario files", () => {
  for (const name of scenarios.listScenarios()) {
    test.it(`reads ${name}`, () => {
      const scenario = scenarios.readScenario(scenarios.getScenarioFile(name));
      assert.deepEqual(scenario.isErr() ? scenario.error : [], []);
    });
  }

  test.it("are refused with the file's name when they cannot be read", () => {
    const missing = scenarios.readScenario("no_such_scenario.jsonc");
    assert.ok(missing.isErr());
    assert.match(missing.error[0] ?? "", /no_such_scenario\.jsonc/);
  });
});
