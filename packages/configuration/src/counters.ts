/**
 * Counters of the configuration on one VM.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** All counters of this package. */
export type ConfigurationCounters = ReturnType<typeof createCounters>;

/** Creates the counters among the metrics of a VM. */
export function createCounters(metrics: kernel.Metrics) {
  return {
    notes: metrics.createCounter(
      "hemlockwalk_configuration_notes_total",
      "Notes offered to this VM, by source and by what became of them.",
      ["source", "outcome"],
    ),
    forks: metrics.createCounter(
      "hemlockwalk_configuration_forks_total",
      "Notes refused because another one under the same number is in force.",
    ),
    baselines: metrics.createCounter(
      "hemlockwalk_configuration_baselines_total",
      "Baselines read, by source and outcome.",
      ["source", "outcome"],
    ),
    platformCalls: metrics.createCounter(
      "hemlockwalk_configuration_platform_calls_total",
      "Calls of the platform, by outcome.",
      ["outcome"],
    ),
    budgetWaits: metrics.createCounter(
      "hemlockwalk_configuration_budget_waits_total",
      "Calls of the platform that waited for the call budget or after an answer over the rate.",
    ),
    messages: metrics.createCounter(
      "hemlockwalk_configuration_messages_total",
      "Messages sent to other VMs, by kind.",
      ["kind"],
    ),
    malformed: metrics.createCounter(
      "hemlockwalk_configuration_malformed_total",
      "Messages from other VMs that were dropped because of their shape, by kind.",
      ["kind"],
    ),
    pulls: metrics.createCounter(
      "hemlockwalk_configuration_pulls_total",
      "Attempts to catch up from another VM, by outcome.",
      ["outcome"],
    ),
    fallbacks: metrics.createCounter(
      "hemlockwalk_configuration_fallbacks_total",
      "Times that this VM read the platform itself because no VM was known to reach it.",
    ),
  };
}
