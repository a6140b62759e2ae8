/**
 * The path of one request from its admission to its final answer: placement and attempts.
 */

import type * as http from "node:http";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as admission from "./admission.ts";
import * as bodies from "./body.ts";
import * as answers from "./final_answer.ts";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import * as log from "./request_log.ts";
import * as calls from "./target_call.ts";
import type * as types from "./types.ts";

/** A request waits for a slot for at most this share of its objective. */
const WAIT_IN_OBJECTIVES = 0.5;

/** Requests that may wait at a target beyond its slots. */
const ALLOWED_OVERFLOW = 1;

/** An idempotent request may go elsewhere when its target has been silent for so many mean times. */
const SILENT_AFTER_TYPICAL = 4;

/** Errors of targets in a bad spell mostly come within this time. */
const SURVIVAL_MILLISECONDS = 60;

/** A retry needs at least so much of a mean work time before the end of the request. */
const MIN_TIME_LEFT_IN_TYPICAL = 0.6;

/** Below this share of the retries at hand, none is planned for; what is left answers failures. */
const MIN_RETRY_LEVEL = 0.2;

type Placement =
  | { readonly kind: "placed"; readonly target: model.TargetId }
  | { readonly kind: "refused"; readonly reason: types.RefusalReason };

/** Serves one request to its end. */
export class RequestHandler {
  readonly #context: contexts.RequestContext;
  readonly #request: http.IncomingMessage;
  readonly #final: answers.FinalAnswer;
  readonly #story: log.RequestStory;
  readonly #caller = new AbortController();
  readonly #tried = new Set<model.TargetId>();
  #hasArrived = false;
  #mayHaveRun = false;
  /** Whether the latest refusal of a target was for want of slots. */
  #isCrowded = true;

  constructor(
    context: contexts.RequestContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) {
    this.#context = context;
    this.#request = request;
    const id = request.headers[context.profile.requestId];
    this.#story = new log.RequestStory(typeof id === "string" ? id : "");
    this.#final = new answers.FinalAnswer(context, response, this.#story);
  }

  /** Called when the caller's connection has closed. */
  leave(): void {
    if (!this.#final.isGiven) {
      this.#caller.abort("cancelled");
    }
  }

  async run(): Promise<void> {
    const { startGate } = this.#context;
    if (!startGate.isOpen) {
      await startGate.wait();
      this.#story.add("held_at_start", { informed: this.#context.store.current !== undefined });
      if (this.#caller.signal.aborted) {
        this.#final.finish("caller_left", 0);
        return;
      }
    }
    const accepted = admission.acceptRequest(this.#context, this.#request, this.#story);
    if ("status" in accepted) {
      this.#final.refuse(accepted);
      return;
    }
    const limit = this.#context.store.current?.declarations.limits.bodyBytes ?? 0;
    const read = await bodies.readBody(this.#request, limit);
    if (read.kind === "broken_off") {
      this.#final.finish("caller_left", 0);
      return;
    }
    if (read.kind === "too_large") {
      this.#final.refuse({ status: 413, reason: "body_too_large" });
      return;
    }
    read.body.tooLarge?.addEventListener("abort", () => this.#refuseLongBody(), { once: true });
    this.#context.budgets.countRequest(accepted.service);
    await this.#serve(accepted, read.body);
  }

  async #serve(accepted: types.AcceptedRequest, body: bodies.RequestBody): Promise<void> {
    const timer = setTimeout(
      () => this.#expire(),
      Math.max(0, accepted.endsAt - kernel.getMonotonicMilliseconds()),
    );
    this.#caller.signal.addEventListener("abort", () => clearTimeout(timer), { once: true });
    try {
      let result: calls.CallResult | undefined;
      do {
        const placed = await this.#place(accepted);
        if (this.#caller.signal.aborted || this.#final.isGiven) {
          break;
        }
        if (placed.kind === "refused") {
          this.#answerWithout(result, placed.reason);
          return;
        }
        result = await this.#call(accepted, body, placed);
      } while (!this.#final.isGiven && this.#mayRetry(accepted, body, result));
      if (!this.#final.isGiven && result !== undefined && !this.#caller.signal.aborted) {
        this.#answer(result);
      }
      if (this.#caller.signal.aborted && !this.#final.isGiven) {
        this.#returnRate(accepted);
        this.#final.finish("caller_left", 0);
      }
    } finally {
      clearTimeout(timer);
    }
  }

  #place(accepted: types.AcceptedRequest): Promise<Placement> {
    const { route, service } = accepted;
    const typical = this.#context.knowledge.workTimes.getTypical(
      route.id,
      route.objectiveMilliseconds,
    );
    const need: placement.PlacementNeed = {
      mayRetry: route.isIdempotent && this.#tried.size + 1 < route.attempts &&
        this.#context.budgets.getRetryLevel(service) > MIN_RETRY_LEVEL,
      objectiveMilliseconds: route.objectiveMilliseconds,
      typicalMilliseconds: typical,
      allowedOverflow: ALLOWED_OVERFLOW,
    };
    const first = this.#choose(service, need);
    if (first.kind === "chosen") {
      return Promise.resolve(this.#createPlacement(first));
    }
    if (first.kind === "none") {
      return Promise.resolve({ kind: "refused", reason: "no_target" });
    }
    return this.#wait(accepted, need);
  }

  #choose(service: model.ServiceId, need: placement.PlacementNeed): placement.Choice {
    const candidates = this.#context.knowledge.listCandidates(service, this.#tried);
    return placement.chooseTarget(candidates, need);
  }

  #createPlacement(choice: Extract<placement.Choice, { kind: "chosen" }>): Placement {
    const { candidate } = choice;
    this.#story.add("placed", {
      target: candidate.id,
      load: candidate.load,
      slots: candidate.slots,
      sickness: Number(candidate.sickness.toFixed(3)),
      evidenceAge: Math.round(Math.min(candidate.evidenceAgeMilliseconds, 1e6)),
      lookAfter: choice.isLookAfter,
    });
    return { kind: "placed", target: candidate.id };
  }

  #wait(accepted: types.AcceptedRequest, need: placement.PlacementNeed): Promise<Placement> {
    const { service, route } = accepted;
    const line = this.#context.lines.get(service);
    this.#story.add("waits", { ahead: line.countAhead(accepted.priority) });
    const now = kernel.getMonotonicMilliseconds();
    const waitUntil = Math.min(
      accepted.arrivedAt + route.objectiveMilliseconds * WAIT_IN_OBJECTIVES,
      accepted.endsAt - need.typicalMilliseconds,
    );
    return new Promise((resolve) => {
      const waiter: placement.Waiter = {
        priority: accepted.priority,
        takesAnyTarget: this.#tried.size === 0,
        waitUntil: Math.max(waitUntil, now),
        tryPlace: () => {
          const choice = this.#choose(service, need);
          if (choice.kind === "chosen") {
            this.#caller.signal.removeEventListener("abort", onLeave);
            resolve(this.#createPlacement(choice));
          }
          return choice.kind === "chosen";
        },
        giveUp: () => {
          this.#caller.signal.removeEventListener("abort", onLeave);
          resolve({ kind: "refused", reason: "no_room" });
        },
      };
      const onLeave = () => {
        line.remove(waiter);
        resolve({ kind: "refused", reason: "caller_left" });
      };
      this.#caller.signal.addEventListener("abort", onLeave, { once: true });
      line.add(waiter);
    });
  }

  async #call(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    placed: Extract<Placement, { kind: "placed" }>,
  ): Promise<calls.CallResult> {
    const { knowledge: known, profile, connections: targetConnections } = this.#context;
    const target = kernel.getDefined(
      known.findTarget(placed.target),
      "A candidate is in the directory.",
    );
    this.#tried.add(target.id);
    const attempt = new AbortController();
    const onLeave = () => {
      // A request that may not run twice is let run to its end: its caller may ask what came of it.
      const canRun = this.#hasArrived && body.tooLarge?.aborted !== true;
      if (accepted.route.isIdempotent || !canRun) {
        attempt.abort("cancelled");
      }
    };
    this.#caller.signal.addEventListener("abort", onLeave, { once: true });
    const silence = this.#startSilenceTimer(accepted, attempt);
    const startedAt = kernel.getMonotonicMilliseconds();
    const stopWatching = this.#watchCall(target.id, startedAt);
    this.#hasArrived = true;
    known.begin(target.id);
    let result: calls.CallResult;
    try {
      result = await calls.callTarget({
        request: accepted,
        target,
        body,
        profile,
        connections: targetConnections,
        connectTimeoutMilliseconds: known.reachability.getConnectTimeout(target.id),
        noteConnectTime: (milliseconds) =>
          known.reachability.noteConnected(target.id, milliseconds),
        signal: attempt.signal,
      });
    } finally {
      silence.stop();
      stopWatching();
      this.#caller.signal.removeEventListener("abort", onLeave);
      known.end(target.id);
      this.#context.lines.get(accepted.service).advance();
    }
    this.#learn(accepted, target.id, result, startedAt);
    return result;
  }

  /** Learns from a call while it runs: work may take long, and errors come at once. */
  #watchCall(target: model.TargetId, startedAt: number): () => void {
    const { knowledge: known } = this.#context;
    const survival = kernel.startInputTimer(
      () => known.observe(target, "survived", startedAt),
      SURVIVAL_MILLISECONDS,
    );
    return () => survival.stop();
  }

  #startSilenceTimer(
    accepted: types.AcceptedRequest,
    attempt: AbortController,
  ): kernel.StoppableTimer {
    const { route } = accepted;
    const now = kernel.getMonotonicMilliseconds();
    const typical = this.#context.knowledge.workTimes.getTypical(
      route.id,
      route.objectiveMilliseconds,
    );
    const isLast = !route.isIdempotent || this.#tried.size >= route.attempts;
    const left = accepted.endsAt - now;
    const patience = isLast ? left : Math.min(left, typical * SILENT_AFTER_TYPICAL);
    return kernel.startInputTimer(() => attempt.abort("silent"), Math.max(0, patience));
  }

  #learn(
    accepted: types.AcceptedRequest,
    target: model.TargetId,
    result: calls.CallResult,
    startedAt: number,
  ): void {
    const milliseconds = kernel.getMonotonicMilliseconds() - startedAt;
    const { knowledge: known } = this.#context;
    const { route } = accepted;
    switch (result.kind) {
      case "answered": {
        const isError = result.answer.status >= 500;
        this.#mayHaveRun = true;
        known.observe(target, isError ? "error" : "success", startedAt);
        if (!isError) {
          known.workTimes.record(route.id, target, milliseconds, route.objectiveMilliseconds);
        }
        this.#story.add("answered", { target, status: result.answer.status });
        return;
      }
      case "not_run":
        if (result.reason === "shed") {
          known.observe(target, "shed", startedAt);
          this.#isCrowded = known.noteShed(target);
        } else {
          known.markUnreachable(target, result.reason === "unreachable");
        }
        this.#story.add("not_run", { target, reason: result.reason });
        return;
      case "failed":
        this.#mayHaveRun = true;
        if (result.reason !== "cancelled") {
          known.observe(
            target,
            result.reason === "silent" ? "silent" : "broken",
            startedAt,
          );
        }
        this.#story.add("failed", { target, reason: result.reason });
        return;
    }
  }

  #mayRetry(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    result: calls.CallResult,
  ): boolean {
    const { route, service } = accepted;
    const { budgets: shared, knowledge: known } = this.#context;
    const isGood = result.kind === "answered" && result.answer.status < 500;
    if (isGood || this.#caller.signal.aborted || !body.isHeld) {
      return false;
    }
    const isSafe = route.isIdempotent || (result.kind === "not_run" && !this.#mayHaveRun);
    if (!isSafe || this.#tried.size >= route.attempts) {
      // A target that was never reached does not count as one that the request was sent to.
      const isFree = isSafe && result.kind === "not_run" && !result.hasArrived;
      if (!isFree) {
        return false;
      }
    }
    const typical = known.workTimes.getTypical(route.id, route.objectiveMilliseconds);
    const left = accepted.endsAt - kernel.getMonotonicMilliseconds();
    if (left < typical * MIN_TIME_LEFT_IN_TYPICAL) {
      return false;
    }
    const countsAsArrival = !(result.kind === "not_run" && !result.hasArrived);
    const isAllowed = !countsAsArrival || shared.takeRetry(service);
    this.#story.add(isAllowed ? "retried" : "no_retry_left", {
      retryLevel: Number(shared.getRetryLevel(service).toFixed(2)),
    });
    return isAllowed;
  }

  #answer(result: calls.CallResult): void {
    switch (result.kind) {
      case "answered":
        this.#final.passOn(result.answer);
        return;
      case "not_run":
        if (this.#mayHaveRun) {
          this.#final.refuse({ status: 502, reason: "target_failed" });
        } else {
          this.#final.refuse({
            status: 503,
            reason: "not_reached",
            retryAfterSeconds: this.#isCrowded
              ? refusals.RETRY_AFTER_SECONDS.noRoom
              : refusals.RETRY_AFTER_SECONDS.notReached,
          });
        }
        return;
      case "failed":
        this.#final.refuse(
          result.reason === "silent"
            ? { status: 504, reason: "timeout" }
            : { status: 502, reason: "target_failed" },
        );
        return;
    }
  }

  /** Answers a request for which no further target was found. */
  #answerWithout(result: calls.CallResult | undefined, reason: types.RefusalReason): void {
    if (result !== undefined && (result.kind === "answered" || this.#mayHaveRun)) {
      this.#answer(result);
      return;
    }
    this.#final.refuse({
      status: 503,
      reason,
      retryAfterSeconds: refusals.RETRY_AFTER_SECONDS.noRoom,
    });
  }

  #expire(): void {
    if (this.#final.isGiven) {
      return;
    }
    this.#final.refuse(
      this.#hasArrived ? { status: 504, reason: "timeout" } : {
        status: 503,
        reason: "no_room",
        retryAfterSeconds: refusals.RETRY_AFTER_SECONDS.noRoom,
      },
    );
    this.#caller.abort("cancelled");
  }

  /** Ends a request whose body has turned out too long after its beginning was sent. */
  #refuseLongBody(): void {
    this.#final.refuse({ status: 413, reason: "body_too_large" });
    this.#caller.abort("cancelled");
  }

  #returnRate(accepted: types.AcceptedRequest): void {
    if (accepted.workspace !== undefined && !this.#hasArrived) {
      this.#context.budgets.returnRate(accepted.workspace);
    }
  }
}
