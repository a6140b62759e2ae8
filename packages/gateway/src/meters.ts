/**
 * The counters and latency distributions of the gateway.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as connections from "./connections.ts";
import * as retries from "./retries.ts";

/** Everything that the gateway counts. */
export class GatewayMeters {
  readonly refusals;
  readonly retries;
  readonly notRetried;
  readonly cutAnswers;
  readonly #connections;
  readonly #connectionEvents = new Map<connections.ConnectionEvent, { inc(): void }>();
  readonly withdrawnRequests;
  readonly claims;
  readonly tlsReloads;
  readonly total: kernel.LatencyDistribution;
  readonly added: kernel.LatencyDistribution;

  constructor(metrics: kernel.Metrics) {
    this.refusals = metrics.createCounter(
      "hemlockwalk_refusals_total",
      "Requests that this VM answered itself, by reason and by whether they ran.",
      ["reason", "run"],
    );
    this.retries = metrics.createCounter(
      "hemlockwalk_retries_total",
      "Requests that were sent again, by what ended the attempt before.",
      ["reason"],
    );
    this.notRetried = metrics.createCounter(
      "hemlockwalk_not_retried_total",
      "Failed attempts after which the request was not sent again, by what stood against it.",
      ["reason"],
    );
    // Reasons that have not occurred yet show as zero, so that an alarm can be set on them.
    retries.RETRY_REASONS.forEach((reason) => this.retries.inc({ reason }, 0));
    retries.NO_RETRY_REASONS.forEach((reason) => this.notRetried.inc({ reason }, 0));
    this.cutAnswers = metrics.createCounter(
      "hemlockwalk_cut_answers_total",
      "Answers that began and were ended by a reset of the caller's connection, by cause.",
      ["reason"],
    );
    this.#connections = metrics.createCounter(
      "hemlockwalk_target_connections_total",
      "What happened to connections to targets, by event.",
      ["event"],
    );
    this.withdrawnRequests = metrics.createCounter(
      "hemlockwalk_withdrawn_requests_total",
      "Running requests that were ended since their key was withdrawn.",
    );
    this.claims = metrics.createCounter(
      "hemlockwalk_claims_total",
      "Requests with an Idempotency-Key, by what was decided.",
      ["decision"],
    );
    this.tlsReloads = metrics.createCounter(
      "hemlockwalk_tls_reloads_total",
      "Reloads of the listener's certificate, by result.",
      ["result"],
    );
    this.total = metrics.createLatency(
      "hemlockwalk_request_seconds",
      "Time from a request's arrival to the end of its answer.",
    );
    this.added = metrics.createLatency(
      "hemlockwalk_added_seconds",
      "Time from a request's arrival to the end of its answer, less the time that targets took.",
    );
  }

  /** Counts an event of a connection to a target. */
  countConnection(event: connections.ConnectionEvent): void {
    // Kept by event, since most requests come here and the search by labels is slow.
    let counter = this.#connectionEvents.get(event);
    if (counter === undefined) {
      counter = this.#connections.labels({ event });
      this.#connectionEvents.set(event, counter);
    }
    counter.inc();
  }
}
