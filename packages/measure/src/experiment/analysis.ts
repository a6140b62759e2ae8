/**
 * Computes the measures of a scenario run from the collected data.
 */

import * as deployments from "../deployments.ts";
import type * as commands from "../emulator/commands.ts";
import type * as scenarios from "../scenario.ts";
import type * as types from "../types.ts";
import * as detection from "./detection.ts";
import type * as experiment from "./experiment.ts";
import * as metricsText from "./metrics_text.ts";
import * as oracle from "./oracle.ts";

/** How one failing target was detected. */
export interface DetectionResult {
  readonly target: string;
  readonly fault: string;
  /** Undefined if the target was not avoided before the end of the fault. */
  readonly milliseconds: number | undefined;
}

/** The measures of one workspace. */
export interface WorkspaceResult {
  readonly workspace: string;
  readonly arrivals: number;
  readonly served: number;
  /** Served requests as a share of those that the oracle's token bucket admits. */
  readonly servedShare: number;
  readonly latencyP50Milliseconds: number;
  readonly latencyP99Milliseconds: number;
  /** Rate refusals in excess of those of the oracle's token bucket. */
  readonly refusedWithinRate: number;
  readonly overshoot: number;
}

/** The measures of one run. */
export interface ExperimentResult {
  readonly deployment: string;
  readonly scenario: string;
  readonly seed: number;
  readonly variant: string;
  readonly requests: number;
  readonly served: number;
  readonly latencyP50Milliseconds: number;
  readonly latencyP99Milliseconds: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly refusedWithinRateShare: number;
  readonly worstServedShare: number;
  readonly worstServedWorkspace: string;
  readonly worstLatencyP99Milliseconds: number;
  readonly highestOvershoot: number;
  readonly detections: readonly DetectionResult[];
  /** Fleet-wide ejections of targets that had no fault. */
  readonly falseEjections: number;
  /** Ejections by single VMs, for themselves alone, of targets that had no fault. */
  readonly falseAvoidances: number;
  readonly ejections: readonly commands.EjectionRecord[];
  readonly runMoreThanOnce: number;
  /** Requests whose response said "not run" although a target ran them. */
  readonly falseNotRun: number;
  readonly answersLost: number;
  readonly answersMixed: number;
  readonly withdrawnKeyMilliseconds: number | undefined;
  readonly vmCpuShare: number;
  readonly vmResidentMegabytes: number;
  readonly vmPeerBytesPerSecond: number;
  readonly workspaces: readonly WorkspaceResult[];
  /** Served requests and refusals in each second of the run, for timelines. */
  readonly timeline: readonly TimelinePoint[];
}

/** One second of a run. */
export interface TimelinePoint {
  readonly second: number;
  readonly served: number;
  readonly refused: number;
  readonly failed: number;
  readonly latencyP99Milliseconds: number;
}

/** Computes the measures of one run. */
export function analyzeExperiment(
  data: experiment.ExperimentData,
  scenarioName: string,
): ExperimentResult {
  const workspaces = data.deployment.workspaces.map((_, index) => analyzeWorkspace(data, index));
  const served = data.records.filter(isServed);
  const worst = findWorstServedWorkspace(workspaces, data.scenario);
  const refusedWithinRate = sum(workspaces.map((result) => result.refusedWithinRate));
  const seconds = data.scenario.durationSeconds;
  return {
    deployment: data.deployment.id,
    scenario: scenarioName,
    seed: data.seed,
    variant: data.variant,
    requests: data.records.length,
    served: served.length,
    latencyP50Milliseconds: getLatencyQuantile(served, 0.5),
    latencyP99Milliseconds: getLatencyQuantile(served, 0.99),
    refusals: countRefusals(data.records),
    refusedWithinRateShare: refusedWithinRate / Math.max(1, data.records.length),
    worstServedShare: worst?.servedShare ?? 0,
    worstServedWorkspace: worst?.workspace ?? "",
    worstLatencyP99Milliseconds: Math.max(
      ...workspaces.map((result) => result.latencyP99Milliseconds),
    ),
    highestOvershoot: Math.max(...workspaces.map((result) => result.overshoot)),
    detections: data.scenario.events.flatMap((event) => measureDetection(data, event)),
    falseEjections: countFalseEjections(data, "coordinator"),
    falseAvoidances: countFalseEjections(data, "local"),
    ejections: data.ejections,
    ...countRuns(data),
    answersLost: data.records.filter((record) => !record.complete).length,
    answersMixed: data.records.filter((record) => record.mixed).length,
    withdrawnKeyMilliseconds: getWithdrawalMilliseconds(data),
    vmCpuShare: data.vmCpuMilliseconds / (seconds * 1_000) / data.deployment.vms,
    vmResidentMegabytes: data.vmResidentBytes / data.deployment.vms / 1_000_000,
    vmPeerBytesPerSecond: metricsText.sumMetric(data.vmReports, "hemlockwalk_peer_bytes_total") /
      data.vmReports.length / (seconds + data.scenario.warmUpSeconds),
    workspaces,
    timeline: createTimeline(data),
  };
}

function analyzeWorkspace(data: experiment.ExperimentData, index: number): WorkspaceResult {
  const oracleResult = oracle.evaluateWorkspace(data.deployment, index, data.records);
  const served = data.records.filter((record) => record.workspace === index && isServed(record));
  const admittedByOracle = oracleResult.arrivals - oracleResult.refusedByOracle;
  return {
    workspace: data.deployment.workspaces[index]?.id ?? "",
    arrivals: oracleResult.arrivals,
    served: served.length,
    servedShare: admittedByOracle === 0 ? 1 : served.length / admittedByOracle,
    latencyP50Milliseconds: getLatencyQuantile(served, 0.5),
    latencyP99Milliseconds: getLatencyQuantile(served, 0.99),
    refusedWithinRate: Math.max(0, oracleResult.refusedByFleet - oracleResult.refusedByOracle),
    overshoot: oracleResult.overshoot,
  };
}

/** Finds the workspace with the lowest served share, except those whose key was withdrawn. */
function findWorstServedWorkspace(
  workspaces: readonly WorkspaceResult[],
  scenario: scenarios.Scenario,
): WorkspaceResult | undefined {
  const withdrawn = new Set(
    scenario.events.flatMap((event) => event.kind === "withdraw_key" ? [event.workspace] : []),
  );
  return workspaces.filter((result, index) => result.arrivals > 0 && !withdrawn.has(index))
    .sort((left, right) => left.servedShare - right.servedShare)[0];
}

function measureDetection(
  data: experiment.ExperimentData,
  event: scenarios.ScenarioEvent,
): DetectionResult[] {
  if (event.kind !== "target_fault") {
    return [];
  }
  const service = data.deployment.services[event.service];
  if (service === undefined) {
    return [];
  }
  const target = deployments.getTargetId(service, event.target + 1);
  const attempts = data.attempts.filter((attempt) => attempt.target.startsWith(`${service.id}-`));
  const milliseconds = detection.getDetectionMilliseconds(
    attempts,
    target,
    service.targets,
    event.fromSeconds * 1_000,
    event.untilSeconds * 1_000,
  );
  return [{ target, fault: event.fault.kind, milliseconds }];
}

function countFalseEjections(data: experiment.ExperimentData, judge: string): number {
  const faultyTargets = new Set(data.scenario.events.flatMap((event) => {
    const service = event.kind === "target_fault"
      ? data.deployment.services[event.service]
      : undefined;
    return event.kind === "target_fault" && service !== undefined
      ? [deployments.getTargetId(service, event.target + 1)]
      : [];
  }));
  return data.ejections.filter((ejection) =>
    ejection.judge === judge && !faultyTargets.has(ejection.target)
  ).length;
}

function countRuns(
  data: experiment.ExperimentData,
): { readonly runMoreThanOnce: number; readonly falseNotRun: number } {
  const runs = new Map<number, number>();
  for (const { id } of data.runs) {
    runs.set(id, (runs.get(id) ?? 0) + 1);
  }
  const repeated = data.records.filter((record) =>
    !record.idempotent && (runs.get(record.id) ?? 0) > 1
  );
  const falseNotRun = data.records.filter((record) => record.run === "no" && runs.has(record.id));
  return { runMoreThanOnce: repeated.length, falseNotRun: falseNotRun.length };
}

/** Time from the publication of a withdrawal to the latest start of a request that was served. */
function getWithdrawalMilliseconds(data: experiment.ExperimentData): number | undefined {
  const event = data.scenario.events.find((candidate) => candidate.kind === "withdraw_key");
  if (event?.kind !== "withdraw_key") {
    return undefined;
  }
  const published = event.fromSeconds * 1_000;
  const served = data.records.filter((record) =>
    record.workspace === event.workspace && isServed(record)
  );
  const last = served.reduce((latest, record) => Math.max(latest, record.startMilliseconds), 0);
  return Math.max(0, last - published);
}

function createTimeline(data: experiment.ExperimentData): TimelinePoint[] {
  return Array.from({ length: data.scenario.durationSeconds }, (_, second) => {
    const records = data.records.filter((record) =>
      Math.floor(record.startMilliseconds / 1_000) === second
    );
    const served = records.filter(isServed);
    const refused = records.filter((record) => record.reason !== "");
    return {
      second,
      served: served.length,
      refused: refused.length,
      failed: records.length - served.length - refused.length,
      latencyP99Milliseconds: getLatencyQuantile(served, 0.99),
    };
  });
}

function countRefusals(records: readonly types.RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const record of records) {
    if (isServed(record)) {
      continue;
    }
    const reason = getFailureReason(record);
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

/** Returns the reason why a request was not served. */
function getFailureReason(record: types.RequestRecord): string {
  if (record.reason !== "") {
    return record.reason;
  }
  if (record.mixed) {
    return "mixed";
  }
  return record.complete ? `status_${record.status}` : "cut";
}

function isServed(record: types.RequestRecord): boolean {
  return record.status === 200 && record.complete && !record.mixed;
}

function getLatencyQuantile(records: readonly types.RequestRecord[], quantile: number): number {
  const sorted = records.map((record) => record.latencyMilliseconds)
    .sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
  return sorted[index] ?? 0;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
