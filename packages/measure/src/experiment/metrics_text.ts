/**
 * Parses the metrics that VMs report in the Prometheus text format.
 */

import type * as commands from "../emulator/commands.ts";

/** One sample of a metric. */
export interface MetricSample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

const SAMPLE = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)$/;
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Lists the samples of a metric in the reports of all VMs. */
export function listSamples(
  reports: readonly commands.VmReport[],
  name: string,
): MetricSample[] {
  return reports.flatMap((report) => listSamplesOfText(report.metrics, name));
}

/** Returns the sum of a metric over all VMs and labels; 0 if no VM reports it. */
export function sumMetric(reports: readonly commands.VmReport[], name: string): number {
  return listSamples(reports, name).reduce((sum, sample) => sum + sample.value, 0);
}

function listSamplesOfText(text: string, name: string): MetricSample[] {
  const samples: MetricSample[] = [];
  for (const line of text.split("\n")) {
    const match = SAMPLE.exec(line);
    if (match?.[1] !== name) {
      continue;
    }
    const labels: Record<string, string> = {};
    for (const label of (match[2] ?? "").matchAll(LABEL)) {
      labels[label[1] ?? ""] = label[2] ?? "";
    }
    samples.push({ labels, value: Number(match[3]) });
  }
  return samples;
}
