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
      "Release notes offered to this VM, by source and outcome.",
      ["source", "outcome"],
    ),
    forks: metrics.createCounter(
      "hemlockwalk_configuration_forks_total",
      "Forks: notes refused because a different note with the same number is in force.",
    ),
    baselines: metrics.createCounter(
      "hemlockwalk_configuration_baselines_total",
      "Baselines read, by source and outcome.",
      ["source", "outcome"],
    ),
    platformCalls: metrics.createCounter(
      "hemlockwalk_configuration_platform_calls_total",
      "Calls to the platform, by outcome.",
      ["outcome"],
    ),
    budgetWaits: metrics.createCounter(
      "hemlockwalk_configuration_budget_waits_total",
      "Calls to the platform that were delayed by the call budget or by a rate-limit response.",
    ),
    messages: metrics.createCounter(
      "hemlockwalk_configuration_messages_total",
      "Messages sent to other VMs, by kind.",
      ["kind"],
    ),
    malformed: metrics.createCounter(
      "hemlockwalk_configuration_malformed_total",
      "Malformed messages from other VMs that were dropped, by kind.",
      ["kind"],
    ),
    pulls: metrics.createCounter(
      "hemlockwalk_configuration_pulls_total",
      "Attempts to catch up from another VM, by outcome.",
      ["outcome"],
    ),
    fallbacks: metrics.createCounter(
      "hemlockwalk_configuration_fallbacks_total",
      "Times this VM read the platform because no VM was known to have reached it recently.",
    ),
  };
}
