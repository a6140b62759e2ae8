/**
 * Decides which requests are no longer sent to targets because targets end under them.
 *
 * Designed for a request that ends each target that runs it and that its caller repeats at any VM.
 * Targets that end take the other requests along that run on them, so a single end proves little. A
 * request is quarantined once several targets have ended under it, not all at the same moment, and
 * none has answered it successfully since the first of these ends.
 *
 * Evidence forms a semilattice: VMs may exchange it in any order and more than once.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";

/** Targets that have ended under a request from which it is quarantined. */
const MIN_ENDS = 3;

/**
 * Least time between the first and the last of these ends. Targets that fail together, by a common
 * cause, say nothing about the requests that ran on them.
 */
const MIN_SPREAD_MILLISECONDS = 250;

/** Time of a quarantine after the last end. It doubles with each end beyond the first ones. */
const QUARANTINE_MILLISECONDS = 300_000;
const MAX_QUARANTINE_MILLISECONDS = 3_600_000;

/** Time for which evidence is kept after the last end, or after the quarantine if there is one. */
const RETENTION_MILLISECONDS = 600_000;

/**
 * Time for which a success is kept: as long as any end before it may be kept by a VM that has not
 * heard of the success, and that tells of the end later.
 */
const SUCCESS_RETENTION_MILLISECONDS = MAX_QUARANTINE_MILLISECONDS + RETENTION_MILLISECONDS;

/** Requests and ends of one request that are kept; beyond them, the oldest are dropped. */
const MAX_REQUESTS = 256;
const MAX_ENDS_PER_REQUEST = 16;

/** The end of one incarnation of a target. */
export interface TargetEnd {
  readonly target: model.TargetId;
  /** Start of the incarnation in Unix milliseconds; 0 if it was not announced. */
  readonly startedAt: number;
  /** Monotonic time of its end, in milliseconds. */
  readonly endedAt: number;
}

/** What is known of one request. */
export interface RequestEvidence {
  /** Targets that have ended under it since it last succeeded, the earliest end first. */
  readonly ends: readonly TargetEnd[];
  /** Monotonic time of its latest success, in milliseconds; undefined if none is known. */
  readonly succeededAt: number | undefined;
}

/** A request that is not sent to targets at present. */
export interface Quarantine {
  /** Targets that have ended under it. */
  readonly ends: number;
  readonly remainingMilliseconds: number;
}

const NO_EVIDENCE: RequestEvidence = { ends: [], succeededAt: undefined };

/** Evidence about all requests under which targets have ended. */
export class CrashEvidence {
  readonly #byRequest = new Map<model.RequestFingerprint, RequestEvidence>();
  /** Number of requests under which targets have ended since they last succeeded. */
  #suspects = 0;

  /** Whether there is no evidence about any request. */
  get isEmpty(): boolean {
    return this.#byRequest.size === 0;
  }

  /** Whether any target has ended under a request that has not succeeded since. */
  get hasSuspects(): boolean {
    return this.#suspects > 0;
  }

  /** Lists the evidence, the request with the latest change last. */
  list(): [model.RequestFingerprint, RequestEvidence][] {
    return [...this.#byRequest];
  }

  /** Whether a target has ended under a request since it last succeeded. */
  hasEnds(request: model.RequestFingerprint): boolean {
    return (this.#byRequest.get(request)?.ends.length ?? 0) > 0;
  }

  /** Records that a target has ended under a request; returns whether that was new. */
  recordEnd(request: model.RequestFingerprint, end: TargetEnd): boolean {
    const known = this.#byRequest.get(request) ?? NO_EVIDENCE;
    const isKnown = known.ends.some(({ target, startedAt }) =>
      target === end.target && startedAt === end.startedAt
    );
    if (isKnown || end.endedAt <= (known.succeededAt ?? Number.NEGATIVE_INFINITY)) {
      return false;
    }
    const ends = [...known.ends, end].sort((left, right) => left.endedAt - right.endedAt);
    this.#set(request, { ...known, ends: ends.slice(-MAX_ENDS_PER_REQUEST) });
    return true;
  }

  /**
   * Records that a target has answered a request successfully, which refutes the ends before;
   * returns whether that was new. The same success, heard by a longer way, seems a little later and
   * is not.
   *
   * @param at Monotonic time of the answer, in milliseconds.
   */
  recordSuccess(request: model.RequestFingerprint, at: number): boolean {
    const known = this.#byRequest.get(request) ?? NO_EVIDENCE;
    if (at <= (known.succeededAt ?? Number.NEGATIVE_INFINITY)) {
      return false;
    }
    const ends = known.ends.filter(({ endedAt }) => endedAt > at);
    this.#set(request, { ends, succeededAt: at });
    return known.succeededAt === undefined || ends.length < known.ends.length;
  }

  /** The quarantine of a request; undefined if it may be sent to targets. */
  findQuarantine(request: model.RequestFingerprint): Quarantine | undefined {
    const ends = this.#byRequest.get(request)?.ends ?? [];
    const remainingMilliseconds = getQuarantineEnd(ends) - kernel.getMonotonicMilliseconds();
    return remainingMilliseconds > 0 ? { ends: ends.length, remainingMilliseconds } : undefined;
  }

  /** Drops evidence that is too old to matter. */
  discardExpired(): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const [request, { ends, succeededAt }] of this.#byRequest) {
      const lastEndAt = ends.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
      const areEndsKept =
        Math.max(lastEndAt, getQuarantineEnd(ends)) + RETENTION_MILLISECONDS >= now;
      const isSuccessKept = succeededAt !== undefined &&
        succeededAt + SUCCESS_RETENTION_MILLISECONDS >= now;
      if (!areEndsKept && !isSuccessKept) {
        this.#delete(request);
      } else if (!areEndsKept && ends.length > 0) {
        this.#set(request, { ends: [], succeededAt });
      }
    }
  }

  #set(request: model.RequestFingerprint, evidence: RequestEvidence): void {
    this.#delete(request);
    this.#byRequest.set(request, evidence);
    this.#suspects += evidence.ends.length > 0 ? 1 : 0;
    const [oldest] = this.#byRequest.keys();
    if (this.#byRequest.size > MAX_REQUESTS && oldest !== undefined) {
      this.#delete(oldest);
    }
  }

  #delete(request: model.RequestFingerprint): void {
    this.#suspects -= this.hasEnds(request) ? 1 : 0;
    this.#byRequest.delete(request);
  }
}

/** Monotonic time at which the quarantine ends; negative infinity if the ends call for none. */
function getQuarantineEnd(ends: readonly TargetEnd[]): number {
  const firstAt = ends.at(0)?.endedAt ?? Number.NEGATIVE_INFINITY;
  const lastAt = ends.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
  if (ends.length < MIN_ENDS || lastAt - firstAt < MIN_SPREAD_MILLISECONDS) {
    return Number.NEGATIVE_INFINITY;
  }
  const time = QUARANTINE_MILLISECONDS * 2 ** (ends.length - MIN_ENDS);
  return lastAt + Math.min(time, MAX_QUARANTINE_MILLISECONDS);
}
