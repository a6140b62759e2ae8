/**
 * Counters of the membership of one VM.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** Counters of suspicions, deaths, heartbeats and messages of the membership. */
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
      "VMs that this VM suspected after neither it nor other VMs reached them.",
    );
    this.refutations = metrics.createCounter(
      "hemlockwalk_membership_refutations_total",
      "Reports that this VM is suspect or dead, which it has refuted.",
    );
    this.deaths = metrics.createCounter(
      "hemlockwalk_membership_deaths_total",
      "VMs that left this VM's view, by cause.",
      ["cause"],
    );
    this.voided = metrics.createCounter(
      "hemlockwalk_membership_voided_suspicions_total",
      "Failed heartbeats that were not counted against the neighbour, by reason.",
      ["reason"],
    );
    this.pathFailures = metrics.createCounter(
      "hemlockwalk_membership_path_failures_total",
      "Failed heartbeats to VMs that another VM reached.",
    );
    this.refused = metrics.createCounter(
      "hemlockwalk_membership_refused_messages_total",
      "Membership messages that were rejected, by reason.",
      ["reason"],
    );
    this.synchronizations = metrics.createCounter(
      "hemlockwalk_membership_synchronizations_total",
      "Synchronizations of all entries with a neighbour.",
    );
  }
}
