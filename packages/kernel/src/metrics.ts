/**
 * Counters, gauges and latency distributions of one VM, exported in the Prometheus text format.
 */

import * as hdr from "hdr-histogram-js";
import * as prometheus from "prom-client";
import * as kernel from "./kernel.ts";

/** Highest latency that a distribution can hold, in microseconds. */
const HIGHEST_LATENCY_MICROSECONDS = 600_000_000;

const EXPORTED_QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

export type Counter<Label extends string = never> = prometheus.Counter<Label>;

/** All metrics of one VM. VMs that share a process have separate registries. */
export class Metrics {
  readonly registry = new prometheus.Registry();

  /** Creates a counter. Its name must end in `_total`. */
  createCounter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[] = [],
  ): prometheus.Counter<Label> {
    return new prometheus.Counter({ name, help, labelNames, registers: [this.registry] });
  }

  /** Creates a gauge whose value is read when the metrics are collected. */
  createGauge(name: string, help: string, read: () => number): void {
    new prometheus.Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Creates a gauge with one label, whose values are read when the metrics are collected. */
  createLabelledGauge<Label extends string>(
    name: string,
    help: string,
    label: Label,
    read: () => readonly (readonly [value: string, number: number])[],
  ): void {
    new prometheus.Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [value, number] of read()) {
          this.set({ [label]: value } as Record<Label, string>, number);
        }
      },
    });
  }

  /** Creates a latency distribution, exported as quantiles in seconds. */
  createLatency(name: string, help: string): LatencyDistribution {
    const distribution = new LatencyDistribution();
    new prometheus.Gauge({
      name,
      help,
      labelNames: ["quantile"],
      registers: [this.registry],
      collect() {
        for (const quantile of EXPORTED_QUANTILES) {
          this.set({ quantile }, distribution.getQuantileMilliseconds(quantile) / 1_000);
        }
      },
    });
    return distribution;
  }
}

/** Latencies between one microsecond and ten minutes, at three significant digits. */
export class LatencyDistribution {
  readonly #histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  /** Number of recorded latencies. */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /** Adds one latency in milliseconds. */
  record(milliseconds: number): void {
    const microseconds = Math.round(milliseconds * 1_000);
    this.#histogram.recordValue(
      Math.min(Math.max(microseconds, 1), HIGHEST_LATENCY_MICROSECONDS),
    );
  }

  /** Returns the latency in milliseconds at a quantile between 0 and 1. */
  getQuantileMilliseconds(quantile: number): number {
    return this.#histogram.getValueAtPercentile(quantile * 100) / 1_000;
  }
}

/** Service name of the metrics. */
export const METRICS = kernel.createServiceName<Metrics>("metrics");
