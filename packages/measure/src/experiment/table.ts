/**
 * Formats the measures of several runs as a table.
 */

import type * as analysis from "./analysis.ts";

/** One row of the table. */
interface Row {
  readonly title: string;
  readonly format: (result: analysis.ExperimentResult) => string;
}

const ROWS: readonly Row[] = [
  { title: "requests", format: (result) => String(result.requests) },
  { title: "served", format: (result) => String(result.served) },
  { title: "latency p50, ms", format: (result) => result.latencyP50Milliseconds.toFixed(1) },
  { title: "latency p99, ms", format: (result) => result.latencyP99Milliseconds.toFixed(1) },
  { title: "detection, ms", format: formatDetections },
  { title: "false ejections", format: (result) => String(result.falseEjections) },
  {
    title: "targets avoided by one VM by mistake",
    format: (result) => String(result.falseAvoidances),
  },
  {
    title: "worst-served workspace",
    format: (result) => `${formatShare(result.worstServedShare)} (${result.worstServedWorkspace})`,
  },
  {
    title: "worst latency p99 of a workspace, ms",
    format: (result) => result.worstLatencyP99Milliseconds.toFixed(1),
  },
  {
    title: "refused within the rate",
    format: (result) => formatShare(result.refusedWithinRateShare),
  },
  { title: "highest overshoot, tokens", format: (result) => result.highestOvershoot.toFixed(1) },
  { title: "writes run more than once", format: (result) => String(result.runMoreThanOnce) },
  { title: 'false "not run"', format: (result) => String(result.falseNotRun) },
  { title: "answers lost", format: (result) => String(result.answersLost) },
  { title: "answers mixed", format: (result) => String(result.answersMixed) },
  { title: "withdrawn key still worked, ms", format: formatWithdrawal },
  { title: "not served, by reason", format: formatRefusals },
  { title: "processor share of a VM", format: (result) => formatShare(result.vmCpuShare) },
  {
    title: "memory of a VM, MB",
    format: (result) => result.vmResidentMegabytes.toFixed(0),
  },
  {
    title: "peer bytes a second of a VM",
    format: (result) => result.vmPeerBytesPerSecond.toFixed(0),
  },
];

/** Returns the cells of the table: a header row, then one row per measure. */
export function listTableCells(results: readonly analysis.ExperimentResult[]): string[][] {
  const header = ["measure", ...results.map((result) => result.variant)];
  const rows = ROWS.map((row) => [row.title, ...results.map(row.format)]);
  return [header, ...rows];
}

/** Formats results as a Markdown table with one column per result. */
export function formatTable(results: readonly analysis.ExperimentResult[]): string {
  const [header = [], ...rows] = listTableCells(results);
  const divider = header.map(() => "---");
  return [header, divider, ...rows].map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

function formatDetections(result: analysis.ExperimentResult): string {
  const texts = result.detections.map(({ fault, milliseconds }) =>
    `${fault}: ${milliseconds === undefined ? "never" : milliseconds.toFixed(0)}`
  );
  return texts.length === 0 ? "-" : texts.join(", ");
}

function formatWithdrawal(result: analysis.ExperimentResult): string {
  return result.withdrawnKeyMilliseconds?.toFixed(0) ?? "-";
}

function formatRefusals(result: analysis.ExperimentResult): string {
  const texts = Object.entries(result.refusals).map(([reason, count]) => `${reason}: ${count}`);
  return texts.length === 0 ? "-" : texts.join(", ");
}
