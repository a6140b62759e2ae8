/**
 * Counters of the membership of one VM.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** What the membership counts. */
export class MembershipCounters {
  readonly suspicions;
  readonly refutations;
  readonly deaths;
  readonly voided;
  readonly pathFailures;
  readonly refused;
  readonly synchronizations;

  constructor(metrics: kernel.Metrics) {
    this.suspicions = metrics.createCounter(
      "hemlockwalk_membership_suspicions_total",
      "VMs that this VM found unreachable, itself and through others.",
    );
    this.refutations = metrics.createCounter(
      "hemlockwalk_membership_refutations_total",
      "Statements that this VM is suspect or dead, which it has overridden.",
    );
    this.deaths = metrics.createCounter(
      "hemlockwalk_membership_deaths_total",
      "VMs that left this VM's view, by cause.",
      ["cause"],
    );
    this.voided = metrics.createCounter(
      "hemlockwalk_membership_voided_suspicions_total",
      "Failed heartbeats that prove nothing, by reason.",
      ["reason"],
    );
    this.pathFailures = metrics.createCounter(
      "hemlockwalk_membership_path_failures_total",
      "Failed heartbeats to VMs that other VMs reached.",
    );
    this.refused = metrics.createCounter(
      "hemlockwalk_membership_refused_messages_total",
      "Messages that were dropped, by reason.",
      ["reason"],
    );
    this.synchronizations = metrics.createCounter(
      "hemlockwalk_membership_synchronizations_total",
      "Comparisons of whole views with a neighbour.",
    );
  }
}
