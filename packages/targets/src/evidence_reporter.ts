/**
 * Collects evidence from this VM's calls to one service until the next digest.
 */

import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as serviceEvidence from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Regular digests on a service stop when it has had no calls for this long. */
const IDLE_SERVICE_MILLISECONDS = 60_000;

/** Maximum number of entries that wait for a digest. Calls beyond them are not reported. */
const MAXIMUM_PENDING_ENTRIES = 2_000;

/** What the calls that one entry counts have in common. */
export interface CallKey {
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: serviceEvidence.ReportedCalls["result"];
  readonly bucket: number;
  readonly trial: boolean;
}

interface Pending extends CallKey {
  count: number;
}

/** The evidence for the next digest on one service. */
export class EvidenceReporter {
  readonly #service: model.ServiceId;
  readonly #pending = new Map<string, Pending>();
  readonly #probed = new Set<types.ShortId>();
  #urgent = false;
  #lastSentAt: number;
  #lastUrgentAt = Number.NEGATIVE_INFINITY;
  #lastCallAt = Number.NEGATIVE_INFINITY;

  /** @param firstSentAt Start of the first interval. It differs by VM, to spread their digests. */
  constructor(service: model.ServiceId, firstSentAt: number) {
    this.#service = service;
    this.#lastSentAt = firstSentAt;
  }

  /** Adds a call. Returns whether it was kept. */
  add(key: CallKey, urgent: boolean, nowMilliseconds: number): boolean {
    this.#lastCallAt = nowMilliseconds;
    this.#urgent ||= urgent;
    const { target, route, result, bucket, trial } = key;
    const name = `${target} ${route} ${messages.packResult(result, bucket, trial)}`;
    const pending = this.#pending.get(name);
    if (pending !== undefined) {
      pending.count++;
      return true;
    }
    if (this.#pending.size >= MAXIMUM_PENDING_ENTRIES) {
      return false;
    }
    this.#pending.set(name, { ...key, count: 1 });
    return true;
  }

  /** Adds a successful probe of a target that is out of use. */
  addProbeSuccess(target: types.ShortId): void {
    this.#probed.add(target);
  }

  /** Whether a digest is due. */
  isDue(
    intervalMilliseconds: number,
    urgentMilliseconds: number,
    nowMilliseconds: number,
  ): boolean {
    const elapsed = nowMilliseconds - this.#lastSentAt;
    if (this.#urgent && nowMilliseconds - this.#lastUrgentAt >= urgentMilliseconds) {
      return true;
    }
    return elapsed >= intervalMilliseconds &&
      nowMilliseconds - this.#lastCallAt < IDLE_SERVICE_MILLISECONDS;
  }

  /** Returns the collected evidence as a digest, and clears it. */
  takeDigest(
    hasLocalFault: boolean,
    loads: Iterable<messages.TargetLoad>,
    held: readonly types.Verdict[] | undefined,
    nowMilliseconds: number,
  ): messages.Digest {
    const calls: number[] = [];
    for (const { target, route, result, bucket, trial, count } of this.#pending.values()) {
      calls.push(target, route, messages.packResult(result, bucket, trial), count);
    }
    const digest: messages.Digest = {
      service: this.#service,
      sentAt: nowMilliseconds,
      suspect: hasLocalFault,
      calls,
      loads: messages.packLoads(loads),
    };
    if (this.#probed.size > 0) {
      digest.probed = [...this.#probed];
    }
    if (held !== undefined) {
      digest.held = messages.packVerdicts(held);
    }
    this.#pending.clear();
    this.#probed.clear();
    if (this.#urgent) {
      this.#lastUrgentAt = nowMilliseconds;
    }
    this.#urgent = false;
    this.#lastSentAt = nowMilliseconds;
    return digest;
  }

  /** Discards the collected calls, such as after a pause, and returns their number. */
  discardPending(): number {
    let calls = 0;
    for (const { count } of this.#pending.values()) {
      calls += count;
    }
    this.#pending.clear();
    this.#urgent = false;
    return calls;
  }
}
