/**
 * The state of a request across its attempts.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as limits from "@hemlockwalk/limits";
import type * as model from "@hemlockwalk/model";
import type * as targets from "@hemlockwalk/targets";
import type * as answers from "./answers.ts";
import type * as bodies from "./bodies.ts";
import type * as exchanges from "./exchange.ts";
import * as headers from "./headers.ts";
import type * as refusals from "./refusals.ts";
import type * as retries from "./retries.ts";
import type * as running from "./running_requests.ts";
import type * as types from "./types.ts";

/** Longest wait of a retry for a slot, so that a request which can't be retried is refused soon. */
const RETRY_QUEUE_MILLISECONDS = 500;

/** A request that is ready to run. */
export interface ReadyRequest {
  readonly accepted: types.AcceptedRequest;
  readonly request: http.IncomingMessage;
  readonly body: bodies.RequestBody;
  readonly running: running.RunningRequest;
  readonly answer: answers.CallerAnswer;
  readonly trustForwardedHeaders: boolean;
}

/** The result of forwarding a request. */
export interface ForwardResult {
  /** The refusal to send; undefined if a response of the target has begun. */
  readonly refusal: refusals.Refusal | undefined;
  /** Whether the complete response of the target went to the caller. */
  readonly answered: boolean;
  /** Time during which at least one attempt ran on a target. */
  readonly targetMilliseconds: number;
}

/** The state of a request across its attempts. */
export class RequestRun {
  readonly ready: ReadyRequest;
  readonly budget: retries.RetryBudget;
  readonly triedTargets = new Set<model.TargetId>();
  attempts = 0;
  /** Whether an ended attempt may have run on its target. */
  mayHaveRun = false;
  #held: exchanges.HeldAnswer | undefined;
  readonly #targetTime = new UnionDuration();

  constructor(ready: ReadyRequest, budget: retries.RetryBudget) {
    this.ready = ready;
    this.budget = budget;
  }

  /** Records how an attempt ended, which it has just done. */
  recordResult(result: exchanges.AttemptResult): void {
    const provablyNotRun = !result.sent || result.end === "not_run_signal";
    this.mayHaveRun ||= !provablyNotRun;
    this.#targetTime.add(result.targetMilliseconds);
    if (result.held !== undefined) {
      this.#hold(result.held);
    }
  }

  /** Records the time for which the rest of a response was passed on, until now. */
  recordRest(milliseconds: number): void {
    this.#targetTime.add(milliseconds);
  }

  /** The error response that is passed on if nothing better comes. */
  get held(): exchanges.HeldAnswer | undefined {
    return this.#held;
  }

  /** Drops a response with an unread rest, whose target's slot is then free. */
  dropRest(): void {
    const { rest } = this.#held ?? {};
    if (rest !== undefined) {
      this.#held = undefined;
      rest.drop();
    }
  }

  /** Keeps the latest response, but none with an unread rest in place of a whole one. */
  #hold(held: exchanges.HeldAnswer): void {
    const { rest } = held;
    if (rest === undefined) {
      this.dropRest();
      this.#held = held;
      return;
    }
    if (this.ready.answer.hasBegun || (this.#held !== undefined && this.#held.rest === undefined)) {
      rest.drop();
      return;
    }
    this.dropRest();
    this.#held = held;
    void rest.ended.then(() => {
      // It may have broken off before it was needed.
      if (this.#held === held) {
        this.#held = undefined;
      }
    });
  }

  createHeaders(leftMilliseconds: number): string[] {
    const { accepted, request, body, trustForwardedHeaders } = this.ready;
    // Requests rarely need a second attempt, so the list is not cached.
    const created = headers.createForwardedHeaders(request, accepted, trustForwardedHeaders);
    created.push(headers.TIMEOUT_HEADER, String(Math.max(0, Math.floor(leftMilliseconds))));
    if (!body.isComplete && accepted.head.contentLength !== undefined) {
      created.push("content-length", String(accepted.head.contentLength));
    }
    return created;
  }

  createRetryConditions(provablyNotRun: boolean): retries.RetryConditions {
    const { accepted, body } = this.ready;
    return {
      idempotent: accepted.idempotent,
      provablyNotRun,
      bodyReplayable: body.isReplayable,
      attempts: this.attempts,
      deadlineMilliseconds: accepted.deadlineMilliseconds,
      hasOtherTarget: this.#hasOtherTarget(),
    };
  }

  createTargetRequest(): targets.TargetRequest {
    const { service, route, idempotent } = this.ready.accepted;
    return { service: service.id, route: route.id, idempotent, exclude: this.triedTargets };
  }

  createOutcome(result: targets.CallResult, latencyMilliseconds: number): targets.CallOutcome {
    return { result, latencyMilliseconds, route: this.ready.accepted.route.id };
  }

  createRefusal(row: refusals.RefusalRow, retryAfterMilliseconds?: number): refusals.Refusal {
    return { row, run: this.mayHaveRun ? "unknown" : "no", retryAfterMilliseconds };
  }

  finish(refusal: refusals.Refusal | undefined): ForwardResult {
    return { refusal, answered: false, targetMilliseconds: this.#targetTime.milliseconds };
  }

  finishAnswered(): ForwardResult {
    return {
      refusal: undefined,
      answered: true,
      targetMilliseconds: this.#targetTime.milliseconds,
    };
  }

  #hasOtherTarget(): boolean {
    const { snapshot, service } = this.ready.accepted;
    return snapshot.listTargets(service.id).some((target) =>
      !target.leaving && !this.triedTargets.has(target.id)
    );
  }
}

/** The time covered by intervals that may overlap. */
class UnionDuration {
  /** Disjoint intervals in order. */
  readonly #intervals: { readonly start: number; readonly end: number }[] = [];

  /** Adds an interval of the given length that ends now. */
  add(milliseconds: number): void {
    const end = kernel.getMonotonicMilliseconds();
    let start = end - milliseconds;
    for (;;) {
      const last = this.#intervals.at(-1);
      if (last === undefined || last.end < start) {
        break;
      }
      start = Math.min(start, last.start);
      this.#intervals.pop();
    }
    this.#intervals.push({ start, end });
  }

  get milliseconds(): number {
    return this.#intervals.reduce((sum, { start, end }) => sum + end - start, 0);
  }
}

/** A request in the queue of its service. */
export class QueueEntry implements limits.QueueRequest<targets.TargetLease> {
  readonly service: model.ServiceId;
  readonly workspace: model.WorkspaceId | undefined;
  readonly weight: number;
  readonly deadlineMilliseconds: number;
  readonly tryAcquire: () => targets.TargetLease | undefined;
  readonly #running: running.RunningRequest;

  constructor(run: RequestRun, tryAcquire: () => targets.TargetLease | undefined) {
    const { accepted } = run.ready;
    this.service = accepted.service.id;
    this.workspace = accepted.workspace?.id;
    this.weight = (accepted.workspace?.weight ?? 1) * accepted.route.weight;
    this.deadlineMilliseconds = run.attempts === 0 ? accepted.deadlineMilliseconds : Math.min(
      accepted.deadlineMilliseconds,
      kernel.getMonotonicMilliseconds() + RETRY_QUEUE_MILLISECONDS,
    );
    this.tryAcquire = tryAcquire;
    this.#running = run.ready.running;
  }

  /** Read only if the request has to wait in the queue. */
  get signal(): AbortSignal {
    return this.#running.signal;
  }
}
