/**
 * Checks the analysis of an experiment on records whose measures are known.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as deployments from "../src/deployments.ts";
import * as analysis from "../src/experiment/analysis.ts";
import type * as experiment from "../src/experiment/experiment.ts";
import type * as scenarios from "../src/scenario.ts";
import type * as types from "../src/types.ts";

const WITHDRAWN_WORKSPACE = 1;

const SERVICE: types.ServicePlan = {
  id: "desk",
  pathPrefix: "/desk",
  targets: 2,
  slots: 6,
  connections: 40,
  floor: 0.5,
  weight: 1,
};
const FAILING_TARGET = deployments.getTargetId(SERVICE, 1);
const HEALTHY_TARGET = deployments.getTargetId(SERVICE, 2);

function createDeployment(): types.DeploymentPlan {
  const pitchwise = deployments.DEPLOYMENTS.get("pitchwise");
  assert.ok(pitchwise !== undefined);
  const workspaces = ["short", "withdrawn", "greedy"].map((id) => ({
    id,
    key: `key-of-${id}`,
    rate: 2,
    burst: 4,
  }));
  return { ...pitchwise, services: [SERVICE], workspaces, vms: 2 };
}

const SCENARIO: scenarios.Scenario = {
  title: "a target resets connections, and a key is withdrawn",
  warmUpSeconds: 2,
  durationSeconds: 10,
  load: 1,
  writes: 0.5,
  events: [
    {
      kind: "target_fault",
      fromSeconds: 1,
      untilSeconds: 9,
      service: 0,
      target: 0,
      fault: { kind: "reset" },
    },
    { kind: "withdraw_key", fromSeconds: 3, workspace: WITHDRAWN_WORKSPACE },
  ],
};

/** A write that was served. */
function createRecord(
  id: number,
  workspace: number,
  startMilliseconds: number,
  latencyMilliseconds: number,
  differences: Partial<types.RequestRecord> = {},
): types.RequestRecord {
  return {
    id,
    workspace,
    service: 0,
    idempotent: false,
    startMilliseconds,
    latencyMilliseconds,
    status: 200,
    reason: "",
    run: "",
    complete: true,
    mixed: false,
    ...differences,
  };
}

const OVER_RATE = { status: 429, reason: "over_rate", run: "no" };
const KEY_UNKNOWN = { status: 401, reason: "key_unknown", run: "no" };

const RECORDS: readonly types.RequestRecord[] = [
  // Eight simultaneous requests: a bucket with a burst of 4 admits four of them, the fleet three.
  createRecord(1, 0, 0, 10, { idempotent: true }),
  createRecord(2, 0, 0, 20),
  createRecord(3, 0, 0, 30),
  ...[4, 5, 6, 7, 8].map((id) => createRecord(id, 0, 0, 1, OVER_RATE)),
  // Four requests within the rate: one is served, one fails, one response is truncated, and one
  // response belongs to another request.
  createRecord(9, 0, 5_000, 40),
  createRecord(10, 0, 5_000, 1, { status: 502, reason: "target_reset", run: "unknown" }),
  createRecord(11, 0, 5_500, 1, { complete: false }),
  createRecord(12, 0, 6_000, 50, { mixed: true }),
  createRecord(13, WITHDRAWN_WORKSPACE, 1_000, 5),
  createRecord(14, WITHDRAWN_WORKSPACE, 3_400, 100),
  createRecord(15, WITHDRAWN_WORKSPACE, 4_000, 1, KEY_UNKNOWN),
  createRecord(16, WITHDRAWN_WORKSPACE, 4_500, 1, KEY_UNKNOWN),
  // Six simultaneous requests, all of which the fleet admits.
  ...[17, 18, 19, 20, 21, 22].map((id) => createRecord(id, 2, 2_000, 1)),
];

/** The targets alternate for two seconds; after that, the failing one receives nothing. */
const ATTEMPTS: readonly types.AttemptRecord[] = Array.from({ length: 1_000 }, (_, index) => ({
  target: index % 2 === 0 && index < 200 ? FAILING_TARGET : HEALTHY_TARGET,
  startMilliseconds: index * 10,
}));

function createData(): experiment.ExperimentData {
  const createRun = (id: number) => ({ id, target: HEALTHY_TARGET, startMilliseconds: 0 });
  const createEjection = (judge: string, target: string) => ({
    vm: "vm-1",
    judge,
    target,
    fault: "broken",
    scope: "target",
  });
  const metrics = [
    'hemlockwalk_peer_bytes_total{direction="sent"} 900',
    'hemlockwalk_peer_bytes_total{direction="received"} 300',
    'hemlockwalk_peer_frames_total{direction="sent"} 7',
  ].join("\n");
  return {
    deployment: createDeployment(),
    scenario: SCENARIO,
    seed: 77,
    variant: "built",
    records: RECORDS,
    // A repeated read is allowed, a repeated write is not. The response to 5 said "not run", and
    // that to 10 "unknown".
    runs: [1, 1, 2, 3, 3, 3, 5, 9, 10].map(createRun),
    attempts: ATTEMPTS,
    ejections: [
      createEjection("coordinator", FAILING_TARGET),
      createEjection("coordinator", HEALTHY_TARGET),
      createEjection("local", HEALTHY_TARGET),
      createEjection("local", HEALTHY_TARGET),
    ],
    vmCpuMilliseconds: 400,
    vmResidentBytes: 100_000_000,
    vmReports: ["vm-1", "vm-2"].map((vm) => ({ vm, ready: true, note: 1, metrics })),
  };
}

test.describe("analysis of an experiment", () => {
  const data = createData();
  const { workspaces, timeline, ...measures } = analysis.analyzeExperiment(data, "by-hand");

  test.it("computes each measure of the table", () => {
    assert.deepEqual(measures, {
      deployment: "pitchwise",
      scenario: "by-hand",
      seed: 77,
      variant: "built",
      requests: 22,
      // Truncated responses and responses to another request do not count as served.
      served: 12,
      latencyP50Milliseconds: 5,
      latencyP99Milliseconds: 100,
      refusals: { over_rate: 5, target_reset: 1, cut: 1, mixed: 1, key_unknown: 2 },
      refusedWithinRateShare: 1 / 22,
      // A workspace whose key was withdrawn does not count, however low its share.
      worstServedShare: 4 / 8,
      worstServedWorkspace: "short",
      worstLatencyP99Milliseconds: 100,
      highestOvershoot: 2,
      // The first window in which the target receives less than a quarter of its fair share (half).
      detections: [{ target: FAILING_TARGET, fault: "reset", milliseconds: 800 }],
      ejections: data.ejections,
      falseEjections: 1,
      falseAvoidances: 2,
      runMoreThanOnce: 1,
      falseNotRun: 1,
      answersLost: 1,
      answersMixed: 1,
      withdrawnKeyMilliseconds: 400,
      vmCpuShare: 0.02,
      vmResidentMegabytes: 50,
      vmPeerBytesPerSecond: 100,
    });
  });

  test.it("compares each workspace with its own token bucket", () => {
    const rows = workspaces.map((
      row,
    ) => [row.workspace, row.arrivals, row.served, row.servedShare, row.refusedWithinRate]);
    assert.deepEqual(rows, [
      ["short", 12, 4, 4 / 8, 1],
      ["withdrawn", 4, 2, 2 / 4, 0],
      ["greedy", 6, 6, 6 / 4, 0],
    ]);
    assert.deepEqual(workspaces.map((row) => row.overshoot), [0, 0, 2]);
  });

  test.it("assigns each request to the second of its intended start", () => {
    assert.equal(timeline.length, SCENARIO.durationSeconds);
    assert.deepEqual(timeline[0], {
      second: 0,
      served: 3,
      refused: 5,
      failed: 0,
      latencyP99Milliseconds: 30,
    });
    assert.deepEqual(timeline[5], {
      second: 5,
      served: 1,
      refused: 1,
      failed: 1,
      latencyP99Milliseconds: 40,
    });
  });
});
