/**
 * Counters of claims on one VM.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** Counters of claims and slots. The gateway counts the decisions on claims. */
export class ClaimCounters {
  readonly unavailable;
  readonly verdicts;
  readonly slotChanges;
  readonly latency;

  constructor(metrics: kernel.Metrics) {
    this.unavailable = metrics.createCounter(
      "hemlockwalk_claims_unavailable_total",
      "Claims that could not be decided, by reason.",
      ["reason"],
    );
    this.verdicts = metrics.createCounter(
      "hemlockwalk_claim_slot_verdicts_total",
      "Verdicts of this VM's slots on claims, by verdict.",
      ["verdict"],
    );
    this.slotChanges = metrics.createCounter(
      "hemlockwalk_claim_slot_changes_total",
      "Slots that this VM won, lost, or requested without winning them.",
      ["change"],
    );
    this.latency = metrics.createLatency(
      "hemlockwalk_claim_seconds",
      "Time from a claim to its decision.",
    );
  }
}
