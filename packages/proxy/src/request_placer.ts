/**
 * Places one request at a target, at once or after a wait for one that is free.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import * as limits from "./stop_limit.ts";
import type * as types from "./types.ts";

/** A request waits for a slot for at most this share of its objective. */
const MAX_WAIT_IN_OBJECTIVES = 0.5;

/**
 * A request waits for a target only if its turn comes this much before its time is over. The queue is
 * processed every 25 ms, so a later turn would often come too late.
 */
const TURN_MARGIN_MILLISECONDS = 50;

/** Requests that may wait at a target beyond its slots. */
const ALLOWED_OVERFLOW = 1;

/**
 * With less than this share of the retry budget left, placement does not count on a retry; the rest
 * of the budget is kept for actual failures.
 */
const MIN_RETRY_LEVEL = 0.2;

/** A target that was chosen for an attempt, which counts in its load from then on. */
export interface PlacedTarget {
  readonly target: model.TargetId;
  /** What was taken of the target's rate; undefined if it is not limited. */
  readonly rateToken: placement.RateToken | undefined;
}

/** The target of a request, or why it has none. */
export type Placement =
  | PlacedTarget & { readonly kind: "placed" }
  | { readonly kind: "refused"; readonly reason: types.RefusalReason };

/** What becomes of a request, before anything is taken for it. */
export interface PlacementPlan {
  readonly placementRequest: placement.PlacementRequest;
  /** Monotonic time until which the request may wait, in milliseconds. */
  readonly waitUntil: number;
  /** Queued requests that are to be placed before it. */
  readonly ahead: number;
  /** Whether it waits behind others, though a target may have room for it. */
  readonly mustQueue: boolean;
  /** The chosen target or the refusal; undefined if the request is to wait. */
  readonly decided: Decision | undefined;
}

/** A target that was chosen, before anything is taken for it. */
export type ChosenTarget = Extract<placement.Choice, { kind: "chosen" }>;

type Decision =
  | ChosenTarget
  | Extract<Placement, { kind: "refused" }>;

/** What a placer uses. */
export type PlacerContext =
  & Pick<contexts.RequestContext, "tracker" | "queues" | "getConfirmedAt" | "stop">
  & { readonly budgets: Pick<contexts.RequestContext["budgets"], "getRetryLevel"> };

const STOPPING = { kind: "refused", reason: "stopping" } as const;

/** Chooses the targets of one request, one after another. */
export class RequestPlacer {
  readonly #context: PlacerContext;
  readonly #trace: log.RequestTrace;
  readonly #tried: ReadonlySet<model.TargetId>;
  readonly #caller: AbortSignal;
  readonly #chooseTarget: typeof placement.chooseTarget;

  /**
   * @param tried Targets that are no candidates any more.
   * @param caller Aborted when the caller has left or the request has expired.
   * @param chooseTarget Chooses among the candidates, and may record them.
   */
  constructor(
    context: PlacerContext,
    trace: log.RequestTrace,
    tried: ReadonlySet<model.TargetId>,
    caller: AbortSignal,
    chooseTarget: typeof placement.chooseTarget = placement.chooseTarget,
  ) {
    this.#chooseTarget = chooseTarget;
    this.#context = context;
    this.#trace = trace;
    this.#tried = tried;
    this.#caller = caller;
  }

  place(accepted: types.AcceptedRequest): Promise<Placement> {
    const { placementRequest, waitUntil, mustQueue, decided } = this.plan(accepted);
    return decided === undefined
      ? this.#wait(accepted, placementRequest, waitUntil, mustQueue)
      : Promise.resolve(this.#carryOut(decided));
  }

  /**
   * Chooses a target for a further attempt beside those that run; undefined if none may get the
   * request now. Takes nothing for it.
   */
  chooseNow(accepted: types.AcceptedRequest): ChosenTarget | undefined {
    if (!limits.mayBegin(this.#context, accepted)) {
      return undefined;
    }
    const choice = this.#choose(accepted, this.#createPlacementRequest(accepted));
    return choice.kind === "chosen" ? choice : undefined;
  }

  /** Takes what an attempt at a chosen target needs. */
  placeAt(choice: ChosenTarget): PlacedTarget {
    const { candidate } = choice;
    const rateToken = this.#context.tracker.takeRate(candidate.id);
    // From here on, so that the next request in the queue does not get the same slot.
    this.#context.tracker.beginCall(candidate.id);
    this.#trace.add("placed", {
      target: candidate.id,
      load: candidate.load,
      slots: candidate.slots,
      sickness: Number(candidate.failureProbability.toFixed(3)),
      evidenceAge: Math.round(Math.min(candidate.evidenceAgeMilliseconds, 1e6)),
      lookAfter: choice.isProbe,
      coldLeft: candidate.warmUpMilliseconds > 0
        ? Math.round(candidate.warmUpMilliseconds)
        : undefined,
      confirmedAge: Math.round(kernel.getMonotonicMilliseconds() - this.#context.getConfirmedAt()),
    });
    return { target: candidate.id, rateToken };
  }

  #createPlacementRequest({ route, service }: types.AcceptedRequest): placement.PlacementRequest {
    return {
      mayRetry: route.isIdempotent && this.#tried.size + 1 < route.attempts &&
        this.#context.budgets.getRetryLevel(service) > MIN_RETRY_LEVEL,
      objectiveMilliseconds: route.objectiveMilliseconds,
      meanProcessingMilliseconds: this.#context.tracker.processingTimes.getRouteMean(
        route.id,
        route.objectiveMilliseconds,
      ),
      allowedOverflow: ALLOWED_OVERFLOW,
    };
  }

  /** Decides about a request that arrives or is to be retried now. Takes nothing for it. */
  plan(accepted: types.AcceptedRequest): PlacementPlan {
    const { route, service } = accepted;
    const placementRequest = this.#createPlacementRequest(accepted);
    const now = kernel.getMonotonicMilliseconds();
    const waitUntil = Math.max(
      now,
      Math.min(
        accepted.arrivedAt + route.objectiveMilliseconds * MAX_WAIT_IN_OBJECTIVES,
        accepted.endsAt - placementRequest.meanProcessingMilliseconds,
      ),
    );
    // A request does not overtake those that wait already; the queue decides which one is next.
    const ahead = this.#context.queues.get(service).countAhead(
      accepted.priority,
      accepted.workspace,
    );
    const mustQueue = this.#tried.size === 0 && accepted.homes === undefined && ahead > 0;
    const decided = !limits.mayBegin(this.#context, accepted)
      ? STOPPING
      : mustQueue
      ? this.#refuseIfHopeless(accepted, placementRequest, waitUntil, ahead)
      : this.#decide(accepted, placementRequest, waitUntil, ahead);
    return { placementRequest, waitUntil, ahead, mustQueue, decided };
  }

  /**
   * Chooses a target for a request or refuses it; undefined if it is to wait.
   *
   * @param ahead Queued requests that are to be placed before it.
   */
  #decide(
    accepted: types.AcceptedRequest,
    placementRequest: placement.PlacementRequest,
    waitUntil: number,
    ahead: number,
  ): Decision | undefined {
    const choice = this.#choose(accepted, placementRequest);
    switch (choice.kind) {
      case "chosen":
        return choice;
      case "full":
        return undefined;
      case "none":
        return this.#decideWithoutCandidate(accepted, waitUntil, ahead);
    }
  }

  /** Refuses a request whose turn in the queue would come too late; undefined if it is to wait. */
  #refuseIfHopeless(
    accepted: types.AcceptedRequest,
    placementRequest: placement.PlacementRequest,
    waitUntil: number,
    ahead: number,
  ): Extract<Placement, { kind: "refused" }> | undefined {
    return this.#choose(accepted, placementRequest).kind === "none"
      ? this.#decideWithoutCandidate(accepted, waitUntil, ahead)
      : undefined;
  }

  #decideWithoutCandidate(
    accepted: types.AcceptedRequest,
    waitUntil: number,
    ahead: number,
  ): Extract<Placement, { kind: "refused" }> | undefined {
    const { service, homes } = accepted;
    const { tracker } = this.#context;
    const wait = tracker.findShortestWait(service, this.#tried, homes, ahead);
    if (wait === undefined) {
      const reason = tracker.findExclusion(service, homes);
      if (reason === "evacuated") {
        this.#trace.add("evacuated", { service });
      } else if (reason === "outside_homes") {
        this.#trace.add("outside_homes", { service, homes: homes?.join(",") });
      }
      return { kind: "refused", reason: reason ?? "no_target" };
    }
    const now = kernel.getMonotonicMilliseconds();
    const maxWait = waitUntil - now;
    const turn = wait.milliseconds + TURN_MARGIN_MILLISECONDS;
    if (placement.decideWithoutTarget(turn, maxWait) === "wait") {
      return now + turn <= limits.getLatestBegin(this.#context, accepted) ? undefined : STOPPING;
    }
    const milliseconds = Number.isFinite(wait.milliseconds)
      ? Math.round(wait.milliseconds)
      : undefined;
    if (wait.isPause) {
      this.#trace.add("targets_paused", { pause: milliseconds, maxWait: Math.round(maxWait) });
      return { kind: "refused", reason: "targets_paused" };
    }
    this.#trace.add("targets_limited", { wait: milliseconds, maxWait: Math.round(maxWait) });
    return { kind: "refused", reason: "targets_limited" };
  }

  #choose(
    { service, homes }: types.AcceptedRequest,
    placementRequest: placement.PlacementRequest,
  ): placement.Choice {
    const candidates = this.#context.tracker.listCandidates(service, this.#tried, homes);
    return this.#chooseTarget(candidates, placementRequest);
  }

  #carryOut(decision: Decision): Placement {
    return decision.kind === "chosen" ? { kind: "placed", ...this.placeAt(decision) } : decision;
  }

  #wait(
    accepted: types.AcceptedRequest,
    placementRequest: placement.PlacementRequest,
    waitUntil: number,
    mayBePlacedNow: boolean,
  ): Promise<Placement> {
    const { service } = accepted;
    const context = this.#context;
    const queue = context.queues.get(service);
    this.#trace.add("waits", { ahead: queue.countAhead(accepted.priority, accepted.workspace) });
    return new Promise((resolve) => {
      const queued: placement.QueuedRequest = {
        priority: accepted.priority,
        workspace: accepted.workspace,
        acceptsAnyTarget: this.#tried.size === 0 && accepted.homes === undefined,
        // The VM may be asked to stop while it waits.
        get waitUntil() {
          return Math.min(waitUntil, limits.getLatestBegin(context, accepted));
        },
        tryPlace: () => {
          // Its turn was found to come in time, before those behind it.
          const decided = limits.mayBegin(context, accepted)
            ? this.#decide(accepted, placementRequest, waitUntil, 0)
            : STOPPING;
          if (decided !== undefined) {
            this.#caller.removeEventListener("abort", onAbort);
            resolve(this.#carryOut(decided));
          }
          return decided?.kind === "refused" ? "refused" : decided !== undefined;
        },
        onTimeout: () => {
          this.#caller.removeEventListener("abort", onAbort);
          const isOver = kernel.getMonotonicMilliseconds() >= waitUntil;
          resolve(isOver ? { kind: "refused", reason: "no_room" } : STOPPING);
        },
      };
      const onAbort = () => {
        queue.remove(queued);
        resolve({ kind: "refused", reason: "caller_left" });
      };
      this.#caller.addEventListener("abort", onAbort, { once: true });
      queue.add(queued);
      if (!mayBePlacedNow) {
        return;
      }
      queue.advance();
      // Those before it may have taken what it could have had.
      const refused = queue.includes(queued)
        ? this.#refuseIfHopeless(
          accepted,
          placementRequest,
          waitUntil,
          queue.countAhead(accepted.priority, accepted.workspace) - 1,
        )
        : undefined;
      if (refused !== undefined) {
        queue.remove(queued);
        this.#caller.removeEventListener("abort", onAbort);
        resolve(refused);
      }
    });
  }
}
