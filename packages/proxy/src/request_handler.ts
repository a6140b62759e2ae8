/**
 * Handles one request from admission to its final response: placement, attempts and retries.
 *
 * An attempt that runs ends without a result only at the request's deadline, at the cut-off of a
 * stop, when its caller has left, or when another attempt has a response (see `attempt_race.ts`).
 */

import type * as http from "node:http";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as admission from "./admission.ts";
import * as aheadBudgets from "./ahead_budget.ts";
import * as counts from "./attempt_count.ts";
import * as races from "./attempt_race.ts";
import * as bodies from "./body.ts";
import type * as connections from "./caller_connection.ts";
import * as answers from "./final_answer.ts";
import * as forwarding from "./forwarding.ts";
import * as further from "./further_attempt.ts";
import * as givenUp from "./given_up.ts";
import * as hedgedCalls from "./hedged_call.ts";
import * as passingOn from "./passing_on.ts";
import * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import * as evidence from "./request_evidence.ts";
import * as log from "./request_log.ts";
import type * as peers from "./serving_peers.ts";
import * as placers from "./request_placer.ts";
import * as limits from "./stop_limit.ts";
import * as calls from "./target_call.ts";
import type * as types from "./types.ts";
import * as unplaced from "./unplaced_refusal.ts";

/** Failing targets mostly return errors within this time. */
const SURVIVAL_MILLISECONDS = 60;

/** Handles one request until it has ended. */
export class RequestHandler {
  readonly #context: contexts.RequestContext;
  readonly #request: http.IncomingMessage;
  readonly #response: http.ServerResponse;
  readonly #connection: connections.CallerConnection;
  readonly #finalAnswer: answers.FinalAnswer;
  readonly #trace: log.RequestTrace;
  readonly #caller = new AbortController();
  readonly #isForwarded: boolean;
  readonly #hasFieldNames: boolean;
  readonly #tried = new Set<model.TargetId>();
  /** Addresses from which refusals have come. */
  readonly #refusedAt = new Set<string>();
  readonly #placer: placers.RequestPlacer;
  readonly #peers: passingOn.PeerCalls;
  readonly #evidence: evidence.RequestEvidence;
  readonly #count = new counts.AttemptCount();
  /** The attempts that run now, if there is a target among them. */
  #race: races.AttemptRace | undefined;
  /** Sends what an attempt has failed with while others run; returns whether it was a response. */
  #sendHeld: () => boolean = () => false;
  /** Why no further attempt was started last; each reason in turn is traced once. */
  #obstacle: further.FurtherObstacle | undefined;
  /** Whether there was no token of the retry budget for a further attempt. */
  #hasLackedRetry = false;
  #hasAttempted = false;
  #mayHaveRun = false;
  /** Whether the time for the response has run out. */
  #hasExpired = false;
  /** The declarations for which it is known whether the request may run ahead. */
  #aheadView: declarations.DeclarationView | undefined;
  #aheadRoute: declarations.DeclaredRoute | undefined;
  /** Whether the target that shed the request last seemed to have no free slot. */
  #isOutOfSlots = true;

  /** @param isForwarded Whether another VM has passed the request on. */
  constructor(
    context: contexts.RequestContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    connection: connections.CallerConnection,
    isForwarded: boolean,
  ) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#connection = connection;
    const id = request.headers[context.profile.requestId];
    this.#trace = new log.RequestTrace(typeof id === "string" ? id : "");
    this.#isForwarded = isForwarded;
    this.#hasFieldNames = kernel.hasFieldNames(request.rawHeaders);
    const { signal } = this.#caller;
    this.#placer = new placers.RequestPlacer(context, this.#trace, this.#tried, signal);
    this.#peers = new passingOn.PeerCalls(
      context,
      this.#trace,
      {
        recordLength: (accepted, bytes) => this.#recordLength(accepted, bytes),
        mayBuffer: (accepted, bytes) => this.#mayBuffer(accepted, bytes),
      },
    );
    this.#evidence = new evidence.RequestEvidence(context, this.#trace, request);
    this.#finalAnswer = new answers.FinalAnswer(
      context,
      response,
      this.#trace,
      connection,
      isForwarded,
    );
  }

  /** Identifier that the caller sent. */
  get id(): string {
    return this.#trace.id;
  }

  /** Whether the request was sent to a target or to another VM. */
  get isPassedOn(): boolean {
    return this.#hasAttempted;
  }

  /** Whether the request may run at the same time as others of its connection. */
  get mayRunAhead(): boolean {
    return this.#findRouteAhead() !== undefined;
  }

  /** Whether the response to a request that may run ahead is known to be buffered whole. */
  get isResponseShort(): boolean {
    const route = this.#findRouteAhead();
    return route !== undefined &&
      (this.#request.method === "HEAD" || this.#context.responseSizes.isShort(route.id));
  }

  /** Finds the route of a request that may run ahead. */
  #findRouteAhead(): declarations.DeclaredRoute | undefined {
    const { store, startGate } = this.#context;
    // At the end of the connection, nothing behind may have begun.
    const mayEnd = !this.#response.shouldKeepAlive || !this.#hasFieldNames;
    if (this.#isForwarded || !startGate.isOpen || mayEnd) {
      return undefined;
    }
    if (store.current !== this.#aheadView) {
      this.#aheadView = store.current;
      this.#aheadRoute = store.current === undefined
        ? undefined
        : admission.findRouteAhead(store.current, this.#request);
    }
    return this.#aheadRoute;
  }

  /** Called when the caller's connection has closed. */
  onCallerClosed(): void {
    this.#finalAnswer.drop();
    if (!this.#finalAnswer.isDecided) {
      this.#abort("caller_left");
    }
  }

  /**
   * Responds at once, since the process is about to end, unless a response is decided. A request that
   * was passed on may have run.
   */
  cutOff(): void {
    if (!this.#finalAnswer.isDecided) {
      // The caller has not left.
      this.#hasExpired = true;
      this.#abort("cut_off");
      this.#sendHeld();
    }
    this.#finalAnswer.cutOff(
      this.#hasAttempted
        ? { status: 504, reason: "stopping", received: this.#count.used }
        : refusals.createStopping(),
    );
  }

  /** Called when the rest of the request cannot be read. */
  onInvalidRequest(): void {
    this.#abort("invalid_request");
    this.#finalAnswer.refuse({ status: 400, reason: "invalid_request" });
  }

  /** Ends the request after an unexpected error. */
  fail(): void {
    this.#finalAnswer.fail();
  }

  /**
   * Handles the request ahead of its turn on its connection. Its response is held back until
   * `takeTurn` is called.
   *
   * @param before Number of requests before it that are not answered yet.
   */
  async runAhead(reservation: aheadBudgets.AheadReservation, before: number): Promise<void> {
    this.#finalAnswer.holdBack(reservation);
    this.#trace.add("started_ahead", { before });
    await this.run(false);
  }

  /** Called when the turn of a request has come that was started ahead. */
  takeTurn(): void {
    this.#finalAnswer.takeTurn();
  }

  /** @param hasWaited Whether requests before it on its connection were handled first. */
  async run(hasWaited: boolean): Promise<void> {
    if (hasWaited) {
      this.#trace.add("waited_for_turn", {
        milliseconds: Math.round(kernel.getMonotonicMilliseconds() - this.#trace.arrivedAt),
      });
    }
    if (!this.#hasFieldNames) {
      // Where its body ends is uncertain, and so is what follows on the connection.
      this.#connection.requireEnd();
      this.#finalAnswer.refuse({ status: 400, reason: "invalid_request" });
      return;
    }
    const { startGate } = this.#context;
    if (!startGate.isOpen) {
      await startGate.wait();
      this.#trace.add("held_at_start", { informed: this.#context.store.current !== undefined });
      if (this.#caller.signal.aborted) {
        this.#finish();
        return;
      }
    }
    const accepted = this.#isForwarded
      ? admission.acceptForwarded(this.#context, this.#request, this.#trace)
      : await admission.acceptRequest(this.#context, this.#request, this.#trace);
    if ("status" in accepted) {
      this.#finalAnswer.refuse(accepted);
      return;
    }
    if (this.#caller.signal.aborted) {
      this.#returnRate(accepted);
      this.#finish();
      return;
    }
    if (accepted.endsAt <= kernel.getMonotonicMilliseconds()) {
      // It waited for the requests before it on its connection.
      this.#returnRate(accepted);
      this.#expire();
      return;
    }
    const limit = this.#context.store.current?.declarations.limits.bodyBytes ?? 0;
    const read = await bodies.readBody(this.#request, limit);
    if (read.kind === "aborted") {
      this.#finish();
      return;
    }
    if (read.kind === "too_large") {
      this.#finalAnswer.refuse({ status: 413, reason: "body_too_large" });
      return;
    }
    if (this.#finalAnswer.isDecided) {
      this.#returnRate(accepted);
      return;
    }
    read.body.tooLarge?.addEventListener("abort", () => this.#refuseLongBody(), { once: true });
    const quarantine = this.#evidence.findRefusal(accepted, read.body);
    if (quarantine !== undefined) {
      this.#returnRate(accepted);
      this.#finalAnswer.refuse(quarantine);
      return;
    }
    if (!this.#isForwarded) {
      this.#context.budgets.countRequest(accepted.service);
      this.#context.hedges.countRequest(accepted.service);
    }
    // The VM may have ceased to accept connections while the body was read.
    const isLate = accepted.isLate || (this.#context.stop.isClosing && !this.#isForwarded);
    await this.#serve(isLate ? { ...accepted, isLate } : accepted, read.body);
  }

  /** Ends what is under way for the request. */
  #abort(reason: givenUp.GivingUpReason): void {
    this.#caller.abort(reason);
  }

  /** Ends a request without a response whose caller has left, unless it has been cut off. */
  #finish(): void {
    if (!this.#finalAnswer.isDecided) {
      this.#finalAnswer.finish("caller_left", 0);
    }
  }

  async #serve(accepted: types.AcceptedRequest, body: bodies.RequestBody): Promise<void> {
    const timer = kernel.startInputTimer(
      () => this.#expire(),
      Math.max(0, accepted.endsAt - kernel.getMonotonicMilliseconds()),
    );
    this.#caller.signal.addEventListener("abort", () => timer.stop(), { once: true });
    try {
      let result: calls.CallResult | undefined;
      do {
        const peer = this.#mayPassOn(accepted, body) ? this.#peers.choose(accepted) : undefined;
        if (peer !== undefined) {
          calls.discardAnswer(result);
          result = await this.#passOn(accepted, body, peer);
          continue;
        }
        const placed = await this.#placer.place(accepted);
        if (this.#caller.signal.aborted || this.#finalAnswer.isDecided) {
          if (placed.kind === "placed") {
            this.#dropPlacement(placed);
          }
          break;
        }
        if (placed.kind === "refused") {
          if (placed.reason === "stopping") {
            this.#returnRate(accepted);
          }
          this.#answerUnplaced(
            accepted,
            result,
            this.#createUnplacedRefusal(accepted, placed.reason),
          );
          return;
        }
        // Targets may have ended under its repetitions while the request was queued.
        const quarantine = this.#evidence.findRefusal(accepted, body);
        if (quarantine !== undefined) {
          this.#dropPlacement(placed);
          this.#context.queues.get(accepted.service).advance();
          this.#answerUnplaced(accepted, result, quarantine);
          return;
        }
        calls.discardAnswer(result);
        result = await this.#callTargets(accepted, body, placed);
      } while (!this.#finalAnswer.isDecided && await this.#mayRetry(accepted, body, result));
      if (!this.#finalAnswer.isDecided && result !== undefined && !this.#caller.signal.aborted) {
        this.#answer(accepted, result);
      } else {
        calls.discardAnswer(result);
      }
      if (this.#caller.signal.aborted && !this.#finalAnswer.isDecided) {
        this.#returnRate(accepted);
        this.#finalAnswer.finish("caller_left", 0);
      }
    } finally {
      timer.stop();
    }
  }

  /** Sends the request to its target, and to further ones while there is no response. */
  async #callTargets(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    placed: placers.PlacedTarget,
  ): Promise<calls.CallResult> {
    const race: races.AttemptRace = new races.AttemptRace({
      startFurther: () => this.#startFurther(accepted, body, race.running),
      getRepeatDelay: () => further.getRepeatDelay(this.#getMean(accepted)),
    });
    this.#race = race;
    this.#sendHeld = () => {
      const held = race.takeHeld();
      const isWhole = held?.kind === "answered" && held.answer.rest === undefined;
      if (isWhole) {
        this.#answer(accepted, held);
      } else {
        calls.discardAnswer(held);
      }
      return isWhole;
    };
    const result = await race.run(this.#start(accepted, body, placed));
    this.#race = undefined;
    this.#sendHeld = () => false;
    return result;
  }

  /**
   * Starts an attempt beside those that run, if there is leave for one now.
   *
   * @param running Attempts that run.
   */
  #startFurther(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    running: number,
  ): races.RunningAttempt | undefined {
    if (this.#finalAnswer.isDecided || this.#caller.signal.aborted) {
      return undefined;
    }
    const { budgets } = this.#context;
    const { route, service } = accepted;
    let obstacle = further.findFurtherObstacle({
      isBuffered: body.isBuffered,
      isQuarantined: this.#evidence.isRefused(accepted, body),
      attemptsLeft: route.attempts - this.#count.used,
      leftMilliseconds: accepted.endsAt - kernel.getMonotonicMilliseconds(),
      meanProcessingMilliseconds: this.#getMean(accepted),
    });
    const start = obstacle === undefined ? this.#chooseFurther(accepted, body) : undefined;
    if (start === undefined) {
      obstacle ??= "no_target";
    } else if (!this.#count.takeUnspent() && !this.#takeFurtherRetry(service)) {
      obstacle = "no_retry_left";
    }
    if (start === undefined || obstacle !== undefined) {
      if (obstacle !== this.#obstacle) {
        this.#obstacle = obstacle;
        this.#trace.add("not_retried_yet", { reason: obstacle, running });
      }
      return undefined;
    }
    this.#obstacle = undefined;
    const retryLevel = Number(budgets.getRetryLevel(service).toFixed(2));
    this.#trace.add("retried", { retryLevel, running });
    return start();
  }

  /** Takes a token of the retry budget for an attempt beside others. */
  #takeFurtherRetry(service: model.ServiceId): boolean {
    const { budgets } = this.#context;
    const isTaken = further.mayTakeRetry(this.#hasLackedRetry, budgets.getRetryLevel(service)) &&
      budgets.takeRetry(service);
    this.#hasLackedRetry ||= !isTaken;
    return isTaken;
  }

  /** Chooses where a further attempt goes, and returns what starts it; takes nothing for it. */
  #chooseFurther(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
  ): (() => races.RunningAttempt) | undefined {
    const peer = this.#mayPassOn(accepted, body) && this.#peers.mayTryAnother
      ? this.#peers.choose(accepted)
      : undefined;
    if (peer !== undefined) {
      return () => startCancellable((attempt) => this.#passOn(accepted, body, peer, attempt));
    }
    const chosen = this.#placer.chooseNow(accepted);
    return chosen && (() => this.#start(accepted, body, this.#placer.placeAt(chosen)));
  }

  #getMean({ route }: types.AcceptedRequest): number {
    const { processingTimes } = this.#context.tracker;
    return processingTimes.getRouteMean(route.id, route.objectiveMilliseconds);
  }

  #start(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    placed: placers.PlacedTarget,
  ): races.RunningAttempt {
    return startCancellable((attempt) => this.#callPlaced(accepted, body, placed, attempt));
  }

  /** Sends the request to a target and, where hedging is on, to a second one if that is slow. */
  #callPlaced(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    placed: placers.PlacedTarget,
    controller: AbortController,
  ): Promise<calls.CallResult> {
    const mayBeHedged = !this.#hasAttempted &&
      hedgedCalls.mayBeHedged(this.#context.hedges, accepted);
    if (!mayBeHedged) {
      return this.#call(accepted, body, placed, controller);
    }
    return hedgedCalls.callHedged({
      signal: controller.signal,
      context: this.#context,
      trace: this.#trace,
      accepted,
      tried: this.#tried,
      getSituation: () => ({
        isPassedOn: this.#isForwarded,
        isBuffered: body.isBuffered,
        attemptsLeft: accepted.route.attempts - this.#count.used,
        isQuarantined: this.#evidence.findRefusal(accepted, body) !== undefined,
        haveTargetsEnded: this.#evidence.haveTargetsEnded(accepted, body),
      }),
      call: (attempted, attempt) => {
        if (attempted !== placed) {
          this.#context.tracker.beginCall(attempted.target);
        }
        return this.#call(accepted, body, attempted, attempt);
      },
    }, placed);
  }

  async #call(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    placed: placers.PlacedTarget,
    controller: AbortController,
  ): Promise<calls.CallResult> {
    const { tracker, profile, connections: targetConnections } = this.#context;
    const target = kernel.getDefined(
      tracker.findTarget(placed.target),
      "A candidate is in the directory.",
    );
    this.#tried.add(target.id);
    this.#count.begin();
    const place = { target: target.id };
    const { attempt, release } = this.#startAttempt(accepted, body, place, controller);
    const startedAt = kernel.getMonotonicMilliseconds();
    const deadline = this.#startDeadlineTimer(accepted, attempt);
    const silence = this.#startSilenceTimer(accepted, body, target, startedAt);
    const stopSurvivalTimer = this.#startSurvivalTimer(target.id, startedAt);
    const overdue = this.#startOverdueTimer(target.id, accepted.route, body, startedAt);
    this.#hasAttempted = true;
    const endCall = () => {
      tracker.endCall(target.id);
      this.#context.queues.get(accepted.service).advance();
    };
    let result: calls.CallResult;
    let heldBack: http.IncomingMessage | undefined;
    try {
      result = await calls.callTarget({
        request: accepted,
        destination: { kind: "target", address: target.address, id: target.id },
        body,
        profile,
        connections: targetConnections,
        connectTimeoutMilliseconds: tracker.reachability.getConnectTimeout(target.id),
        recordConnectTime: (milliseconds) =>
          tracker.reachability.recordConnected(target.id, milliseconds),
        isStillAccepted: () => tracker.accepts(target, placed.rateToken),
        wasRefusedHere: this.#refusedAt.has(target.address),
        recordNotice: (notice) => this.#recordNotice(target, notice),
        recordLength: (bytes) => this.#recordLength(accepted, bytes),
        mayBuffer: (bytes) => this.#mayBuffer(accepted, bytes),
        signal: attempt.signal,
      });
      heldBack = this.#findHeldBack(result);
    } finally {
      deadline.stop();
      silence.stop();
      stopSurvivalTimer();
      overdue.stop();
      release();
      if (heldBack === undefined || heldBack.closed) {
        endCall();
      } else {
        // The target uses a slot until it has sent the rest.
        heldBack.once("close", endCall);
      }
    }
    if (result.kind === "not_run" && result.hasArrived) {
      this.#refusedAt.add(target.address);
    }
    // Another target at the address is the only one that responds without having got the request.
    if (result.kind === "not_run" && (!result.hasArrived || result.reason === "other_target")) {
      this.#returnTargetRate(placed);
    }
    if (overdue.isOverdue() && calls.isConclusive(result)) {
      tracker.recordOutcome(target.id, "late", startedAt);
    }
    this.#recordResult(accepted, body, target, result, startedAt);
    return result;
  }

  /** Records a response that is going to be long, so that nothing more starts ahead behind it. */
  #recordLength({ route }: types.AcceptedRequest, bytes: number): void {
    if (bytes > calls.MAX_BUFFERED_ANSWER_BYTES) {
      this.#context.responseSizes.recordLong(route.id);
    }
  }

  /** Whether so many bytes of a response may be buffered before it begins. */
  #mayBuffer(accepted: types.AcceptedRequest, bytes: number): boolean {
    if (!this.#finalAnswer.hasTurn) {
      return bytes <= aheadBudgets.MAX_AHEAD_RESPONSE_BYTES;
    }
    this.#recordLength(accepted, bytes);
    return bytes <= calls.MAX_BUFFERED_ANSWER_BYTES || this.#connection.mayBufferLong(bytes);
  }

  /**
   * Records that a success is short. Other responses, and those to HEAD, say nothing about the length
   * of a success.
   */
  #recordSize({ route, method }: types.AcceptedRequest, answer: calls.TargetAnswer): void {
    const isSuccess = answer.status >= 200 && answer.status < 300;
    if (answer.rest === undefined && isSuccess && method !== "HEAD") {
      const bytes = answer.chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      if (bytes <= calls.MAX_BUFFERED_ANSWER_BYTES) {
        this.#context.responseSizes.recordShort(route.id);
      }
    }
  }

  /** The rest of a response that is left unread until its turn, while its target sends it. */
  #findHeldBack(result: calls.CallResult): http.IncomingMessage | undefined {
    return this.#finalAnswer.hasTurn || result.kind !== "answered" ? undefined : result.answer.rest;
  }

  /** Starts an attempt, which is cancelled with the caller's request where that is safe. */
  #startAttempt(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    place: givenUp.AttemptPlace,
    attempt = new AbortController(),
  ) {
    const unwatch = givenUp.watchAttempt(
      this.#context,
      this.#trace,
      accepted,
      place,
      attempt.signal,
    );
    const onAbort = () => {
      // A request that must not run twice is not cancelled: its caller may later ask for the
      // outcome.
      const canRun = this.#hasAttempted && body.tooLarge?.aborted !== true;
      if (accepted.route.isIdempotent || !canRun) {
        attempt.abort(this.#caller.signal.reason);
      }
    };
    this.#caller.signal.addEventListener("abort", onAbort, { once: true });
    const release = () => {
      unwatch();
      this.#caller.signal.removeEventListener("abort", onAbort);
    };
    return { attempt, release };
  }

  /** Whether another VM is to serve the request, since this one reaches no target. */
  #mayPassOn(accepted: types.AcceptedRequest, body: bodies.RequestBody): boolean {
    return passingOn.mayPassOn({
      isIsolated: this.#context.path.isIsolated,
      isForwarded: this.#isForwarded,
      attemptsLeft: accepted.route.attempts - this.#count.used,
      canBeSent: body.isBuffered || !this.#hasAttempted,
      mayBegin: limits.mayBegin(this.#context, accepted),
    });
  }

  async #passOn(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    peer: peers.ServingPeer,
    controller = new AbortController(),
  ): Promise<calls.CallResult> {
    const { attempt, release } = this.#startAttempt(accepted, body, { vm: peer.vm }, controller);
    this.#hasAttempted = true;
    const attempts = accepted.route.attempts - this.#count.used;
    this.#count.begin(attempts);
    const result = await this.#peers.call(accepted, attempts, body, peer, attempt.signal)
      .finally(release);
    this.#mayHaveRun ||= passingOn.mayHaveRun(result);
    if (result.kind !== "not_run") {
      this.#trace.recordArrival();
    }
    this.#count.end(passingOn.countReceived(result, attempts), attempts);
    const isUnspent = result.kind === "refused_by_peer"
      ? forwarding.mayServeElsewhere(result.refusal)
      : result.kind === "not_run" && !result.hasArrived;
    if (isUnspent) {
      this.#count.addUnspent();
    }
    return result;
  }

  /** Records what a target says of itself, which binds from its response on. */
  #recordNotice(target: declarations.TargetEntry, notice: calls.TargetNotice): void {
    const isEmpty = !notice.isLeaving && notice.retryAfter === undefined &&
      notice.rateLimit === undefined;
    if (!isEmpty) {
      this.#trace.add("target_notice", {
        target: target.id,
        leaving: notice.isLeaving,
        retryAfter: notice.retryAfter,
        rateLimit: notice.rateLimit,
      });
    }
    this.#context.recordRate(target, notice);
    if (notice.isLeaving) {
      this.#context.recordLeaving(target);
    }
    if (notice.retryAfter !== undefined) {
      this.#context.tracker.startPause(target.id, notice.retryAfter);
    }
  }

  /**
   * Records that a call outlasts the time within which errors arrive; its success may take far
   * longer.
   */
  #startSurvivalTimer(target: model.TargetId, startedAt: number): () => void {
    const { tracker } = this.#context;
    const survival = kernel.startInputTimer(
      () => tracker.recordOutcome(target, "survived", startedAt),
      SURVIVAL_MILLISECONDS,
    );
    return () => survival.stop();
  }

  /**
   * Records that a call is overdue while it still runs, unless this VM stood still and may not have
   * read the response, or has lost its path to all targets. The time of a body that is streamed is
   * the caller's, so such a call is no evidence.
   */
  #startOverdueTimer(
    target: model.TargetId,
    route: types.AcceptedRequest["route"],
    body: bodies.RequestBody,
    startedAt: number,
  ) {
    const { tracker, budgets, path } = this.#context;
    let isOverdue = false;
    const timer = kernel.startInputTimer(() => {
      isOverdue = body.isBuffered && !path.isIsolated && !budgets.hasStoodStillSince(startedAt);
      if (isOverdue) {
        tracker.recordOutcome(target, "overdue", startedAt);
      }
    }, tracker.getOverdueMilliseconds(target, route));
    return { stop: () => timer.stop(), isOverdue: () => isOverdue };
  }

  /** Ends an attempt when the request's time is over, also one that its caller's end leaves. */
  #startDeadlineTimer(
    { endsAt }: types.AcceptedRequest,
    attempt: AbortController,
  ): kernel.StoppableTimer {
    const left = Math.max(0, endsAt - kernel.getMonotonicMilliseconds());
    return kernel.startInputTimer(() => attempt.abort("silent"), left);
  }

  /**
   * Notices that a target has not responded for some mean processing times, if another one may get
   * the request. The attempt goes on.
   */
  #startSilenceTimer(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    target: declarations.TargetEntry,
    startedAt: number,
  ): kernel.StoppableTimer {
    const { route } = accepted;
    const delay = further.getSilenceDelay(this.#getMean(accepted));
    const isLast = !route.isIdempotent || !body.isBuffered ||
      this.#count.used >= route.attempts;
    if (isLast || startedAt + delay >= accepted.endsAt) {
      return { stop: () => undefined };
    }
    return kernel.startInputTimer(() => {
      this.#context.tracker.recordOutcome(target.id, "silent", startedAt);
      const after = kernel.getMonotonicMilliseconds() - startedAt;
      this.#evidence.recordSilence(accepted, body, target, after);
      this.#race?.requestFurther();
    }, delay);
  }

  #recordResult(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    entry: declarations.TargetEntry,
    result: calls.CallResult,
    startedAt: number,
  ): void {
    const milliseconds = kernel.getMonotonicMilliseconds() - startedAt;
    const { tracker } = this.#context;
    const { route } = accepted;
    const target = entry.id;
    const hasArrived = result.kind !== "not_run" || result.hasArrived;
    this.#count.end(hasArrived ? 1 : 0);
    if (hasArrived) {
      this.#trace.recordArrival();
    } else {
      this.#count.addUnspent();
    }
    switch (result.kind) {
      case "answered": {
        const isError = calls.isFailure(result.answer);
        this.#mayHaveRun = true;
        tracker.recordOutcome(target, isError ? "error" : "success", startedAt);
        if (!isError) {
          this.#evidence.recordSuccess(accepted, body, result.answer);
          tracker.processingTimes.record(
            route.id,
            target,
            milliseconds,
            route.objectiveMilliseconds,
          );
        }
        this.#trace.add("answered", { target, status: result.answer.status });
        return;
      }
      case "not_run":
        if (result.reason === "shed") {
          tracker.recordOutcome(target, "shed", startedAt);
          this.#isOutOfSlots = tracker.recordShed(target);
        } else if (result.reason !== "withdrawn") {
          tracker.recordNotReached(target, result.reason === "unreachable");
        }
        this.#trace.add("not_run", {
          target,
          reason: result.reason,
          ...describeRefusal(result.refusal),
        });
        if (result.refusal !== undefined) {
          const attribution = getAttribution(result.refusal);
          this.#context.counters.targetRefusals.inc({ reason: result.reason, attribution });
        }
        return;
      case "failed":
        this.#mayHaveRun = true;
        if (result.reason === "foreign") {
          this.#context.counters.foreignResponses.inc({});
        }
        if (result.reason === "unattributed") {
          const attribution = result.connection?.isRepetition === true ? "repeated" : "unnamed";
          this.#context.counters.targetRefusals.inc({ reason: result.reason, attribution });
        }
        if (result.reason !== "cancelled") {
          tracker.recordOutcome(
            target,
            result.reason === "silent" ? "silent" : "broken",
            startedAt,
          );
        }
        this.#evidence.recordFailure(
          accepted,
          body,
          entry,
          result,
          result.reason === "cancelled" && !this.#hasExpired,
        );
        return;
      case "refused_by_peer":
        throw new kernel.AssertionError("Only another VM refuses a request this way.");
    }
  }

  async #mayRetry(
    accepted: types.AcceptedRequest,
    body: bodies.RequestBody,
    result: calls.CallResult,
  ): Promise<boolean> {
    const { route, service } = accepted;
    const { budgets } = this.#context;
    if (calls.isConclusive(result) || this.#caller.signal.aborted || !body.isBuffered) {
      return false;
    }
    if (this.#evidence.findRefusal(accepted, body) !== undefined) {
      return false;
    }
    if (result.kind === "refused_by_peer" && !forwarding.isCutOff(result.refusal)) {
      return (route.isIdempotent || !this.#mayHaveRun) &&
        forwarding.mayServeElsewhere(result.refusal) && this.#peers.mayTryAnother &&
        (this.#count.takeUnspent() || await budgets.takeRetryOrWait(service));
    }
    const isSafeToRetry = route.isIdempotent || (result.kind === "not_run" && !this.#mayHaveRun);
    if (!isSafeToRetry || this.#count.used >= route.attempts) {
      return false;
    }
    if (result.kind === "refused_by_peer" && !this.#peers.mayTryAnother) {
      return false;
    }
    const left = accepted.endsAt - kernel.getMonotonicMilliseconds();
    if (left < this.#getMean(accepted) * further.MIN_TIME_IN_MEAN_TIMES) {
      return false;
    }
    const isAllowed = this.#count.takeUnspent() || await budgets.takeRetryOrWait(service);
    this.#trace.add(isAllowed ? "retried" : "no_retry_left", {
      retryLevel: Number(budgets.getRetryLevel(service).toFixed(2)),
    });
    return isAllowed && !this.#finalAnswer.isDecided && !this.#caller.signal.aborted;
  }

  #answer(accepted: types.AcceptedRequest, result: calls.CallResult): void {
    switch (result.kind) {
      case "refused_by_peer":
        this.#finalAnswer.refuse(
          this.#mayHaveRun && refusals.isNotRun(result.refusal)
            ? { status: 502, reason: "target_failed" }
            : result.refusal,
        );
        return;
      case "answered":
        if (!accepted.route.isIdempotent && refusals.isNotRunStatus(result.answer.status)) {
          // The status would tell the caller what the target has not said.
          result.answer.discard();
          this.#finalAnswer.refuse({ status: 502, reason: "target_failed" });
          return;
        }
        this.#recordSize(accepted, result.answer);
        this.#finalAnswer.forward(
          result.answer,
          accepted.endsAt,
          (bytes) => this.#mayBuffer(accepted, bytes),
        );
        return;
      case "not_run":
        if (this.#mayHaveRun) {
          this.#finalAnswer.refuse({ status: 502, reason: "target_failed" });
        } else {
          this.#finalAnswer.refuse({
            status: 503,
            reason: "not_reached",
            retryAfterSeconds: unplaced.getRetryAfterSeconds(
              this.#context,
              accepted,
              this.#isOutOfSlots
                ? refusals.RETRY_AFTER_SECONDS.noRoom
                : refusals.RETRY_AFTER_SECONDS.notReached,
            ),
          });
        }
        return;
      case "failed":
        this.#finalAnswer.refuse(
          result.reason === "silent"
            ? { status: 504, reason: "timeout" }
            : { status: 502, reason: "target_failed" },
        );
        return;
    }
  }

  /** Sends the final response of a request for which no further target was found. */
  #answerUnplaced(
    accepted: types.AcceptedRequest,
    result: calls.CallResult | undefined,
    refusal: refusals.Refusal,
  ): void {
    if (result !== undefined && (result.kind === "answered" || this.#mayHaveRun)) {
      this.#answer(accepted, result);
    } else {
      this.#finalAnswer.refuse(refusal);
    }
  }

  #createUnplacedRefusal(
    accepted: types.AcceptedRequest,
    reason: types.RefusalReason,
  ): refusals.Refusal {
    // The VM that passed the request on would try another one for a reason of this VM alone.
    const hasUsedAttempts = this.#isForwarded && this.#count.received > 0;
    return unplaced.createUnplacedRefusal(this.#context, accepted, reason, hasUsedAttempts);
  }

  #expire(): void {
    if (this.#finalAnswer.isDecided) {
      return;
    }
    this.#hasExpired = true;
    this.#abort("deadline");
    if (!this.#sendHeld()) {
      this.#finalAnswer.refuse(
        this.#hasAttempted ? { status: 504, reason: "timeout" } : unplaced.createExpiredRefusal(),
      );
    }
  }

  /** Ends a request whose body exceeded the limit after its beginning was sent. */
  #refuseLongBody(): void {
    this.#abort("invalid_request");
    this.#finalAnswer.refuse({ status: 413, reason: "body_too_large" });
  }

  /** Gives up a placement without an attempt. */
  #dropPlacement(placed: placers.PlacedTarget): void {
    this.#context.tracker.endCall(placed.target);
    this.#returnTargetRate(placed);
  }

  /** Returns what was taken of the rate of a target that does not get the request. */
  #returnTargetRate({ target, rateToken }: placers.PlacedTarget): void {
    this.#context.tracker.returnRate(target, rateToken);
  }

  #returnRate(accepted: types.AcceptedRequest): void {
    if (accepted.workspace !== undefined && !this.#hasAttempted && !this.#isForwarded) {
      this.#context.budgets.returnRate(accepted.workspace);
    }
  }
}

/** Starts an attempt that another one may outlast. */
function startCancellable(
  start: (attempt: AbortController) => Promise<calls.CallResult>,
): races.RunningAttempt {
  const attempt = new AbortController();
  return {
    result: start(attempt),
    cancel: () => attempt.abort("outlasted" satisfies givenUp.GivingUpReason),
  };
}

/** How it is known to which attempt a target's refusal belongs. */
function getAttribution({ connection, isNamed }: calls.TargetRefusal) {
  return connection.isRepetition ? "repeated" : isNamed ? "named" : "unnamed";
}

/** What tells to which attempt a target's refusal belongs, for the trace. */
function describeRefusal(refusal: calls.TargetRefusal | undefined) {
  return refusal === undefined ? {} : {
    status: refusal.status,
    named: refusal.isNamed,
    ...log.describeConnection(refusal.connection),
  };
}
