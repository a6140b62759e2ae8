/**
 * The path of one request: checks, rate, placement, attempts and the final answer.
 */

import type * as http from "node:http";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as bodies from "./body.ts";
import type * as budgets from "./budgets.ts";
import * as headers from "./headers.ts";
import * as log from "./request_log.ts";
import type * as connections from "./target_connections.ts";
import * as calls from "./target_call.ts";
import type * as knowledge from "./target_knowledge.ts";
import type * as types from "./types.ts";
import type * as waitingLines from "./waiting_lines.ts";

/** A caller that names no deadline is given this time, unless the route has a time-out. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** The final answer leaves so long before the caller's deadline, for its way back. */
const ANSWER_MARGIN_MILLISECONDS = 5;

/** A request waits for a slot for at most this share of its objective. */
const WAIT_IN_OBJECTIVES = 0.5;

/** Requests that may wait at a target beyond its slots. */
const ALLOWED_OVERFLOW = 1;

/** Without an answer of the store for so long, what is unknown here may be known elsewhere. */
const CONFIRMED_FOR_MILLISECONDS = 3_000;

/** An idempotent request may go elsewhere when its target has been silent for so many mean times. */
const SILENT_AFTER_TYPICAL = 4;

/** Errors of targets in a bad spell mostly come within this time. */
const SURVIVAL_MILLISECONDS = 60;

/** A retry needs at least so much of a mean work time before the end of the request. */
const MIN_TIME_LEFT_IN_TYPICAL = 0.6;

/** Below this share of the retries at hand, none is planned for; what is left answers failures. */
const MIN_RETRY_LEVEL = 0.2;

/** Times to come back that refusals name, in seconds. */
const RETRY_AFTER_SECONDS = {
  noDeclarations: 0.5,
  overRate: 1,
  noRoom: 0.3,
  // Targets that shed with slots free or were not reached: another one may well take the request.
  notReached: 0.05,
};

/** What the request path works with. */
export interface RequestContext {
  readonly profile: types.HeaderProfile;
  readonly store: declarations.DeclarationStore;
  readonly knowledge: knowledge.TargetKnowledge;
  readonly budgets: budgets.Budgets;
  readonly connections: connections.TargetConnections;
  readonly log: log.RequestLog;
  readonly lines: waitingLines.WaitingLines;
  readonly counters: { readonly requests: { inc(labels: { outcome: string }): void } };
  readonly latency: { record(milliseconds: number): void };
  /** Monotonic time of the latest answer of the store to any VM. */
  readonly getConfirmedAt: () => number;
  readonly isStopping: () => boolean;
}

interface Refusal {
  readonly status: number;
  readonly reason: types.RefusalReason;
  readonly retryAfterSeconds?: number;
}

type Placement =
  | { readonly kind: "placed"; readonly target: model.TargetId }
  | { readonly kind: "refused"; readonly reason: types.RefusalReason };

/** Serves one request to its end. */
export class RequestHandler {
  readonly #context: RequestContext;
  readonly #request: http.IncomingMessage;
  readonly #response: http.ServerResponse;
  readonly #story: log.RequestStory;
  readonly #caller = new AbortController();
  readonly #tried = new Set<model.TargetId>();
  #isAnswered = false;
  #hasArrived = false;
  #mayHaveRun = false;
  /** Whether the latest refusal of a target was for want of slots. */
  #isCrowded = true;

  constructor(
    context: RequestContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    const id = request.headers[context.profile.requestId];
    this.#story = new log.RequestStory(typeof id === "string" ? id : "");
  }

  /** Called when the caller's connection has closed. */
  leave(): void {
    if (!this.#isAnswered) {
      this.#caller.abort("cancelled");
    }
  }

  async run(): Promise<void> {
    const accepted = this.#accept();
    if ("status" in accepted) {
      this.#refuse(accepted);
      return;
    }
    const limit = this.#context.store.current?.declarations.limits.bodyBytes ?? 0;
    const read = await bodies.readBody(this.#request, limit);
    if (read.kind === "broken_off") {
      this.#finish("caller_left", 0);
      return;
    }
    if (read.kind === "too_large") {
      this.#refuse({ status: 413, reason: "body_too_large" });
      return;
    }
    this.#context.budgets.countRequest(accepted.service);
    await this.#serve(accepted, read.body);
  }

  #accept(): types.AcceptedRequest | Refusal {
    const { profile, store, budgets: shared } = this.#context;
    const view = store.current;
    if (view === undefined) {
      return {
        status: 503,
        reason: "no_declarations",
        retryAfterSeconds: RETRY_AFTER_SECONDS.noDeclarations,
      };
    }
    if (headers.countHeadBytes(this.#request) > view.declarations.limits.headerBytes) {
      return { status: 431, reason: "head_too_large" };
    }
    const path = this.#request.url ?? "/";
    const query = path.indexOf("?");
    const route = view.findRoute(
      this.#request.headers.host ?? "",
      query < 0 ? path : path.slice(0, query),
    );
    if (route === undefined) {
      return this.#refuseUnknown({ status: 404, reason: "unknown_route" });
    }
    let workspace: declarations.DeclaredWorkspace | undefined;
    if (view.hasKeys && !route.isPublic) {
      const key = headers.findKey(this.#request, profile);
      workspace = key === undefined ? undefined : view.findWorkspace(key);
      if (workspace === undefined) {
        return this.#refuseUnknown({ status: 401, reason: "unknown_key" });
      }
    }
    if (workspace !== undefined && !shared.takeRate(workspace)) {
      this.#story.add("over_rate", shared.describeRate(workspace));
      return {
        status: 429,
        reason: "over_rate",
        retryAfterSeconds: RETRY_AFTER_SECONDS.overRate,
      };
    }
    const service = chooseDestination(route.destinations);
    const arrivedAt = this.#story.arrivedAt;
    const stated = headers.parseMilliseconds(this.#request.headers[profile.deadline]);
    const left = Math.min(
      stated === undefined ? Infinity : stated - ANSWER_MARGIN_MILLISECONDS,
      route.timeoutMilliseconds ?? Infinity,
      stated ?? route.timeoutMilliseconds ?? DEFAULT_DEADLINE_MILLISECONDS,
    );
    this.#story.add("accepted", {
      route: route.id,
      service,
      workspace: workspace?.id,
      version: view.declarations.version,
      confirmedAge: Math.round(arrivedAt - this.#context.getConfirmedAt()),
    });
    return {
      id: this.#story.id,
      route,
      workspace,
      service,
      priority: workspace?.priority ?? route.priority,
      arrivedAt,
      endsAt: arrivedAt + left,
      method: this.#request.method ?? "GET",
      path,
      headers: headers.createForwardedHeaders(this.#request, profile),
    };
  }

  /** A VM that may have missed a version does not say that something is unknown. */
  #refuseUnknown(refusal: Refusal): Refusal {
    const age = kernel.getMonotonicMilliseconds() - this.#context.getConfirmedAt();
    return age <= CONFIRMED_FOR_MILLISECONDS ? refusal : {
      status: 503,
      reason: "no_declarations",
      retryAfterSeconds: RETRY_AFTER_SECONDS.noDeclarations,
    };
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
        if (this.#caller.signal.aborted || this.#isAnswered) {
          break;
        }
        if (placed.kind === "refused") {
          this.#answerWithout(result, placed.reason);
          return;
        }
        result = await this.#call(accepted, body, placed);
      } while (!this.#isAnswered && this.#mayRetry(accepted, body, result));
      if (!this.#isAnswered && result !== undefined && !this.#caller.signal.aborted) {
        this.#answer(result);
      }
      if (this.#caller.signal.aborted && !this.#isAnswered) {
        this.#returnRate(accepted);
        this.#finish("caller_left", 0);
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
      evidenceAge: Math.round(Math.min(candidate.unobservedMilliseconds, 1e6)),
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
      if (accepted.route.isIdempotent || !this.#hasArrived) {
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
        this.#passOn(result.answer);
        return;
      case "not_run":
        if (this.#mayHaveRun) {
          this.#refuse({ status: 502, reason: "target_failed" });
        } else {
          this.#refuse({
            status: 503,
            reason: "not_reached",
            retryAfterSeconds: this.#isCrowded
              ? RETRY_AFTER_SECONDS.noRoom
              : RETRY_AFTER_SECONDS.notReached,
          });
        }
        return;
      case "failed":
        this.#refuse(
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
    this.#refuse({ status: 503, reason, retryAfterSeconds: RETRY_AFTER_SECONDS.noRoom });
  }

  #expire(): void {
    if (this.#isAnswered) {
      return;
    }
    this.#refuse(
      this.#hasArrived
        ? { status: 504, reason: "timeout" }
        : { status: 503, reason: "no_room", retryAfterSeconds: RETRY_AFTER_SECONDS.noRoom },
    );
    this.#caller.abort("cancelled");
  }

  #returnRate(accepted: types.AcceptedRequest): void {
    if (accepted.workspace !== undefined && !this.#hasArrived) {
      this.#context.budgets.returnRate(accepted.workspace);
    }
  }

  #passOn(answer: calls.TargetAnswer): void {
    const { rest } = answer;
    this.#isAnswered = true;
    const isClosing = !answer.isFramed || this.#context.isStopping();
    const head = [...answer.headers, ...(isClosing ? ["Connection", "close"] : [])];
    if (!answer.isFramed) {
      // Whether such an answer is whole is not known, so it is not framed as if it were.
      this.#response.useChunkedEncodingByDefault = false;
    }
    this.#response.writeHead(answer.status, head);
    for (const chunk of answer.chunks) {
      this.#response.write(chunk);
    }
    if (rest === undefined) {
      this.#response.end();
      this.#finish("answered", answer.status);
      return;
    }
    rest.pipe(this.#response);
    // An answer that ends early must not look complete, so the caller's connection is cut with it.
    rest.once("close", () => {
      if (!rest.complete) {
        this.#response.destroy();
      }
      this.#finish(rest.complete ? "answered" : "target_failed", answer.status);
    });
  }

  #refuse(refusal: Refusal): void {
    if (this.#isAnswered) {
      return;
    }
    this.#isAnswered = true;
    const head: string[] = ["Content-Type", "application/problem+json"];
    if (this.#story.id !== "") {
      head.push(this.#context.profile.requestId, this.#story.id);
    }
    if (refusal.retryAfterSeconds !== undefined) {
      head.push("Retry-After", String(refusal.retryAfterSeconds));
    }
    const body = JSON.stringify({ title: refusal.reason, status: refusal.status });
    head.push("Content-Length", String(body.length), ...this.#createConnectionHeader());
    this.#response.writeHead(refusal.status, head);
    this.#response.end(body);
    this.#finish(refusal.reason, refusal.status);
  }

  #createConnectionHeader(): string[] {
    return this.#context.isStopping() ? ["Connection", "close"] : [];
  }

  #finish(outcome: string, status: number): void {
    this.#isAnswered = true;
    this.#context.counters.requests.inc({ outcome });
    this.#context.latency.record(kernel.getMonotonicMilliseconds() - this.#story.arrivedAt);
    this.#context.log.write(this.#story, outcome, status);
  }
}

/** Draws one of a route's services by their weights. */
function chooseDestination(destinations: readonly declarations.Destination[]): model.ServiceId {
  const total = destinations.reduce((sum, destination) => sum + destination.weight, 0);
  let left = Math.random() * total;
  for (const destination of destinations) {
    left -= destination.weight;
    if (left < 0) {
      return destination.service;
    }
  }
  return kernel.getDefined(destinations.at(-1), "A route has a destination.").service;
}
