/**
 * Counters of claims on one VM.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** What claims count besides the decisions, which the gateway counts. */
export class ClaimCounters {
  readonly unavailable;
  readonly verdicts;
  readonly slotChanges;
  readonly latency;

  constructor(metrics: kernel.Metrics) {
    this.unavailable = metrics.createCounter(
      "hemlockwalk_claims_unavailable_total",
      "Claims without a majority of the key's slots, by reason.",
      ["reason"],
    );
    this.verdicts = metrics.createCounter(
      "hemlockwalk_claim_slot_verdicts_total",
      "What the slots of this VM said to claims.",
      ["verdict"],
    );
    this.slotChanges = metrics.createCounter(
      "hemlockwalk_claim_slot_changes_total",
      "Slots that this VM won, lost or gave back.",
      ["change"],
    );
    this.latency = metrics.createLatency(
      "hemlockwalk_claim_seconds",
      "Time from a claim to its decision.",
    );
  }
}
