/**
 * The metrics of the gateway.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as connections from "./connections.ts";
import * as retries from "./retries.ts";

/** The counters and latency distributions of the gateway. */
export class GatewayMeters {
  readonly refusals;
  readonly retries;
  readonly notRetried;
  readonly truncatedAnswers;
  readonly #connections;
  readonly #connectionEvents = new Map<connections.ConnectionEvent, { inc(): void }>();
  readonly withdrawnRequests;
  readonly cancelledRequests;
  readonly claims;
  readonly tlsReloads;
  readonly total: kernel.LatencyDistribution;
  readonly added: kernel.LatencyDistribution;

  constructor(metrics: kernel.Metrics) {
    this.refusals = metrics.createCounter(
      "hemlockwalk_refusals_total",
      "Requests that this VM refused, by reason and by whether they ran.",
      ["reason", "run"],
    );
    this.retries = metrics.createCounter(
      "hemlockwalk_retries_total",
      "Retries of requests, by the end or the silence of the previous attempt.",
      ["reason"],
    );
    this.notRetried = metrics.createCounter(
      "hemlockwalk_not_retried_total",
      "Failed attempts that were not retried, by reason.",
      ["reason"],
    );
    // Reasons that have not occurred yet are exported as zero, so that alerts can be set on them.
    retries.RETRY_REASONS.forEach((reason) => this.retries.inc({ reason }, 0));
    retries.NO_RETRY_REASONS.forEach((reason) => this.notRetried.inc({ reason }, 0));
    this.truncatedAnswers = metrics.createCounter(
      "hemlockwalk_cut_answers_total",
      "Incomplete responses that were ended by a reset of the caller's connection, by cause.",
      ["reason"],
    );
    this.#connections = metrics.createCounter(
      "hemlockwalk_target_connections_total",
      "Events of connections to targets, by event.",
      ["event"],
    );
    this.withdrawnRequests = metrics.createCounter(
      "hemlockwalk_withdrawn_requests_total",
      "Running requests that were ended because their key was withdrawn.",
    );
    this.cancelledRequests = metrics.createCounter(
      "hemlockwalk_cancelled_requests_total",
      "Requests whose caller disconnected before the response was complete.",
    );
    this.claims = metrics.createCounter(
      "hemlockwalk_claims_total",
      "Requests with an Idempotency-Key, by decision.",
      ["decision"],
    );
    this.tlsReloads = metrics.createCounter(
      "hemlockwalk_tls_reloads_total",
      "Reloads of the listener's certificate, by result.",
      ["result"],
    );
    this.total = metrics.createLatency(
      "hemlockwalk_request_seconds",
      "Time from a request's arrival to the end of its response.",
    );
    this.added = metrics.createLatency(
      "hemlockwalk_added_seconds",
      "Time of a request without the time spent on targets and on waiting for its body.",
    );
  }

  /** Counts an event of a connection to a target. */
  countConnection(event: connections.ConnectionEvent): void {
    // Cached by event: most requests count one, and a lookup by labels is slow.
    let counter = this.#connectionEvents.get(event);
    if (counter === undefined) {
      counter = this.#connections.labels({ event });
      this.#connectionEvents.set(event, counter);
    }
    counter.inc();
  }
}
