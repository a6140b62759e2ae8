/**
 * Counters and gauges of the limits layer.
 */

import type * as kernel from "@hemlockwalk/kernel";

/** All counters of one VM's rate limiter. */
export class LimiterMetrics {
  readonly decisions;
  readonly grants;
  readonly grantedTokens;
  readonly returnedTokens;
  readonly returns;
  readonly expiredTokens;
  readonly votes;
  readonly leases;
  readonly handovers;
  readonly detours;
  readonly malformed;
  readonly waits;

  constructor(metrics: kernel.Metrics) {
    this.decisions = metrics.createCounter(
      "hemlockwalk_limits_decisions_total",
      "Requests by how they were admitted or refused.",
      ["decision"],
    );
    this.grants = metrics.createCounter(
      "hemlockwalk_limits_grants_total",
      "Requests for tokens that this VM answered as coordinator, by result.",
      ["result"],
    );
    this.grantedTokens = metrics.createCounter(
      "hemlockwalk_limits_granted_tokens_total",
      "Tokens granted to other VMs.",
    );
    this.returnedTokens = metrics.createCounter(
      "hemlockwalk_limits_returned_tokens_total",
      "Tokens returned by other VMs, by result.",
      ["result"],
    );
    this.returns = metrics.createCounter(
      "hemlockwalk_limits_returns_total",
      "Messages of this VM about grants that have ended, by result.",
      ["result"],
    );
    this.expiredTokens = metrics.createCounter(
      "hemlockwalk_limits_expired_tokens_total",
      "Granted tokens that expired on this VM without use.",
    );
    this.votes = metrics.createCounter(
      "hemlockwalk_limits_votes_total",
      "Requests for this VM's votes, by result.",
      ["result"],
    );
    this.leases = metrics.createCounter(
      "hemlockwalk_limits_leases_total",
      "Requests of this VM for votes, by result.",
      ["result"],
    );
    this.handovers = metrics.createCounter(
      "hemlockwalk_limits_handovers_total",
      "Shards whose levels were handed over, by result.",
      ["result"],
    );
    this.detours = metrics.createCounter(
      "hemlockwalk_limits_detours_total",
      "Requests to coordinators that were sent through an intermediary VM, by result.",
      ["result"],
    );
    this.malformed = metrics.createCounter(
      "hemlockwalk_limits_malformed_messages_total",
      "Messages that were dropped because they did not match their schema, by channel.",
      ["channel"],
    );
    this.waits = metrics.createLatency(
      "hemlockwalk_limits_wait_seconds",
      "Time for which requests waited for a coordinator.",
    );
  }
}
