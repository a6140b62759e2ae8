/**
 * Collects what this VM's calls to one service showed until the next digest.
 */

import type * as model from "@hemlockwalk/model";
import * as messages from "./messages.ts";
import type * as evidences from "./service_evidence.ts";
import type * as types from "./types.ts";

/** A service to which there were no calls for this long is not reported on. */
const USE_MILLISECONDS = 60_000;

/** Different kinds of calls that wait for a digest. More are counted and dropped. */
const MAXIMUM_KINDS = 2_000;

/** Which calls an entry counts. */
export interface CallKind {
  readonly target: types.ShortId;
  readonly route: types.ShortId;
  readonly result: evidences.ReportedCalls["result"];
  readonly bucket: number;
  readonly trial: boolean;
}

interface Pending extends CallKind {
  count: number;
}

/** What waits for the next digest on one service. */
export class EvidenceReporter {
  readonly #service: model.ServiceId;
  readonly #pending = new Map<string, Pending>();
  readonly #probed = new Set<types.ShortId>();
  #urgent = false;
  #lastSentAt: number;
  #lastCallAt = Number.NEGATIVE_INFINITY;

  /** @param firstSentAt Spreads the digests of several VMs over the interval. */
  constructor(service: model.ServiceId, firstSentAt: number) {
    this.#service = service;
    this.#lastSentAt = firstSentAt;
  }

  /** Adds a call. Tells whether it was kept. */
  add(kind: CallKind, urgent: boolean, nowMilliseconds: number): boolean {
    this.#lastCallAt = nowMilliseconds;
    this.#urgent ||= urgent;
    const { target, route, result, bucket, trial } = kind;
    const name = `${target} ${route} ${messages.packResult(result, bucket, trial)}`;
    const pending = this.#pending.get(name);
    if (pending !== undefined) {
      pending.count++;
      return true;
    }
    if (this.#pending.size >= MAXIMUM_KINDS) {
      return false;
    }
    this.#pending.set(name, { ...kind, count: 1 });
    return true;
  }

  /** Adds that a probe of a target out of use succeeded. */
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
    if (this.#urgent && elapsed >= urgentMilliseconds) {
      return true;
    }
    return elapsed >= intervalMilliseconds && nowMilliseconds - this.#lastCallAt < USE_MILLISECONDS;
  }

  /** Takes what waits, as a digest. */
  takeDigest(
    suspect: boolean,
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
      suspect,
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
    this.#urgent = false;
    this.#lastSentAt = nowMilliseconds;
    return digest;
  }

  /** Drops what waits, such as after a pause. Tells how many calls it was. */
  voidPending(): number {
    let calls = 0;
    for (const { count } of this.#pending.values()) {
      calls += count;
    }
    this.#pending.clear();
    this.#urgent = false;
    return calls;
  }
}
