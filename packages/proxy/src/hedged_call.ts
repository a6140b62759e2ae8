/**
 * The first attempt of a request that may be repeated, and a second one at another target if the
 * first takes unusually long. The first complete response is returned.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as races from "./attempt_race.ts";
import type * as givenUp from "./given_up.ts";
import type * as contexts from "./request_context.ts";
import type * as log from "./request_log.ts";
import type * as placers from "./request_placer.ts";
import * as calls from "./target_call.ts";
import type * as types from "./types.ts";

/** How a request was served by one or two attempts. */
export interface RaceResult {
  readonly result: calls.CallResult;
  /** The attempt whose response is returned; undefined if neither has one. */
  readonly winner: "first" | "second" | undefined;
  /** Whether the other attempt was cancelled while it ran. */
  readonly isOtherCancelled: boolean;
}

/**
 * Waits for the first of two attempts with a response to return, and cancels the other one. An error
 * of a target is returned only if the other attempt fails too.
 */
export async function raceAttempts(
  first: races.RunningAttempt,
  second: races.RunningAttempt,
): Promise<RaceResult> {
  const ended = [first, second].map((attempt) =>
    attempt.result.then((result) => ({ attempt, result }))
  );
  let earlier;
  try {
    earlier = await Promise.race(ended);
  } catch (error) {
    first.cancel();
    second.cancel();
    await Promise.allSettled(ended);
    throw error;
  }
  const other = earlier.attempt === first ? second : first;
  const getName = (attempt: races.RunningAttempt) => attempt === first ? "first" : "second";
  if (isReturned(earlier.result)) {
    other.cancel();
    const otherResult = await other.result;
    calls.discardAnswer(otherResult);
    const isOtherCancelled = otherResult.kind === "failed" && otherResult.reason === "cancelled";
    return { result: earlier.result, winner: getName(earlier.attempt), isOtherCancelled };
  }
  const later = await other.result;
  if (isReturned(later)) {
    calls.discardAnswer(earlier.result);
    return { result: later, winner: getName(other), isOtherCancelled: false };
  }
  const [firstResult, secondResult] = other === second
    ? [earlier.result, later]
    : [later, earlier.result];
  // A second target that did not run the request leaves it as it would be without a hedge.
  const isSecondUsed = secondResult.kind !== "not_run";
  calls.discardAnswer(isSecondUsed ? firstResult : secondResult);
  return {
    result: isSecondUsed ? secondResult : firstResult,
    winner: undefined,
    isOtherCancelled: false,
  };
}

/** Whether a result ends the request without regard to the other attempt. */
function isReturned(result: calls.CallResult): boolean {
  return calls.isConclusive(result);
}

/** What the decision about a second attempt depends on in the handling of the request. */
export type RequestSituation = Pick<
  placement.HedgeSituation,
  "isPassedOn" | "isBuffered" | "attemptsLeft" | "isQuarantined" | "haveTargetsEnded"
>;

/** Whether a request that is sent to its first target may get a second attempt. */
export function mayBeHedged(
  hedges: Pick<contexts.RequestContext["hedges"], "getShare">,
  accepted: types.AcceptedRequest,
): boolean {
  return accepted.route.isIdempotent && hedges.getShare(accepted.service) > 0;
}

/** What the time of a second attempt depends on, apart from the health of the first target. */
export function getHedgeTiming(
  { tracker, hedges }: Pick<contexts.RequestContext, "tracker" | "hedges">,
  { route, service, endsAt }: types.AcceptedRequest,
  startedAt: number,
): Omit<placement.HedgeTiming, "failureProbability"> {
  const { id, objectiveMilliseconds } = route;
  const quantile = placement.getHedgeQuantile(hedges.getShare(service));
  return {
    quantileMilliseconds: hedges.quantiles.get(id, quantile),
    meanProcessingMilliseconds: tracker.processingTimes.getRouteMean(id, objectiveMilliseconds),
    objectiveMilliseconds,
    availableMilliseconds: endsAt - startedAt,
  };
}

/** A second attempt as it would be made now. */
export interface SecondAttemptPlan {
  /** Undefined if no other target may be used. */
  readonly candidate: placement.Candidate | undefined;
  /** Why it is withheld; undefined if it may be made. */
  readonly obstacle: placement.HedgeObstacle | undefined;
  readonly retryLevel: number;
}

/** What the plan of a second attempt depends on in the VM. */
export interface SecondAttemptContext {
  readonly budgets: Pick<contexts.RequestContext["budgets"], "getRetryLevel">;
  readonly hedges: Pick<contexts.RequestContext["hedges"], "isWithinShare">;
  readonly queues: contexts.RequestContext["queues"];
  readonly stop: contexts.RequestContext["stop"];
}

/**
 * Chooses the target of a second attempt and finds why it is withheld, if so. Takes nothing for it.
 *
 * @param candidates Targets without those that the request has been sent to.
 * @param leftMilliseconds Time from the second attempt to the deadline.
 */
export function planSecondAttempt(
  { budgets, hedges, queues, stop }: SecondAttemptContext,
  { route, service }: types.AcceptedRequest,
  candidates: readonly placement.Candidate[],
  situation: RequestSituation,
  meanProcessingMilliseconds: number,
  leftMilliseconds: number,
): SecondAttemptPlan {
  const candidate = placement.chooseHedgeTarget(candidates, {
    mayRetry: false,
    objectiveMilliseconds: route.objectiveMilliseconds,
    meanProcessingMilliseconds,
    allowedOverflow: 0,
  });
  const retryLevel = budgets.getRetryLevel(service);
  const obstacle = placement.findHedgeObstacle({
    ...situation,
    isStopping: stop.isStopping,
    leftMilliseconds,
    meanProcessingMilliseconds,
    waitingRequests: queues.get(service).length,
    hasTarget: candidate !== undefined,
    retryLevel,
    isWithinShare: hedges.isWithinShare(service),
  });
  return { candidate, obstacle, retryLevel };
}

/** Options of a call that may be hedged. */
export interface HedgedCallOptions {
  readonly context: Pick<
    contexts.RequestContext,
    "tracker" | "budgets" | "queues" | "hedges" | "stop"
  >;
  readonly trace: Pick<log.RequestTrace, "add">;
  readonly accepted: types.AcceptedRequest;
  /** Targets that are no candidates; each call adds its own. */
  readonly tried: ReadonlySet<model.TargetId>;
  readonly getSituation: () => RequestSituation;
  /** Sends the request to a target; the controller cancels the attempt. */
  readonly call: (
    placed: placers.PlacedTarget,
    attempt: AbortController,
  ) => Promise<calls.CallResult>;
  /** Cancels both attempts, since another attempt of the request has a response. */
  readonly signal: AbortSignal;
}

/** Sends a request to a target and, if that takes unusually long, to a second one. */
export async function callHedged(
  options: HedgedCallOptions,
  placed: placers.PlacedTarget,
): Promise<calls.CallResult> {
  const call = new HedgedCall(options, placed);
  return await call.run();
}

class HedgedCall {
  readonly #options: HedgedCallOptions;
  readonly #placed: placers.PlacedTarget;
  readonly #startedAt = kernel.getMonotonicMilliseconds();
  readonly #quantile: number;
  /** Why the second attempt was withheld last; each reason in turn is counted once. */
  #withheldFor: placement.HedgeObstacle | undefined;

  constructor(options: HedgedCallOptions, placed: placers.PlacedTarget) {
    this.#options = options;
    this.#placed = placed;
    const { context, accepted } = options;
    this.#quantile = placement.getHedgeQuantile(context.hedges.getShare(accepted.service));
  }

  async run(): Promise<calls.CallResult> {
    const { hedges } = this.#options.context;
    const first = this.#start(this.#placed);
    const second = await this.#waitForSecond(first);
    if (second === undefined) {
      return await first.result;
    }
    const { result, winner, isOtherCancelled } = await raceAttempts(first, second);
    if (winner === "second") {
      hedges.count("won");
    }
    if (isOtherCancelled) {
      hedges.count("cancelled");
    }
    this.#options.trace.add("hedge_ended", {
      returned: winner ?? "none",
      cancelled: isOtherCancelled,
    });
    return result;
  }

  /** Starts the second attempt when it is due; undefined if there is none. */
  #waitForSecond(first: races.RunningAttempt): Promise<races.RunningAttempt | undefined> {
    return new Promise((resolve) => {
      let timer: kernel.StoppableTimer | undefined;
      const wait = (milliseconds: number) => {
        timer = kernel.startInputTimer(() => {
          const left = this.#getDelay() - this.#getElapsed();
          if (left > 0) {
            wait(left);
            return;
          }
          const second = this.#startSecond();
          if (typeof second === "string" && placement.mayHedgeLater(second)) {
            wait(this.#getMean());
          } else {
            resolve(typeof second === "string" ? undefined : second);
          }
        }, Math.max(0, milliseconds));
      };
      const onEnded = () => {
        timer?.stop();
        resolve(undefined);
      };
      first.result.then(onEnded, onEnded);
      wait(placement.getEarliestHedgeDelay(this.#getTiming()));
    });
  }

  /** Starts the second attempt, or returns why it is withheld. */
  #startSecond(): races.RunningAttempt | placement.HedgeObstacle {
    const { context, trace, accepted, tried, getSituation } = this.#options;
    const { hedges, budgets, tracker } = context;
    const { service } = accepted;
    const plan = planSecondAttempt(
      context,
      accepted,
      tracker.listCandidates(service, tried, accepted.homes),
      getSituation(),
      this.#getMean(),
      accepted.endsAt - kernel.getMonotonicMilliseconds(),
    );
    const { candidate, retryLevel } = plan;
    let { obstacle } = plan;
    if (obstacle === undefined && !budgets.takeRetry(service)) {
      obstacle = "retries_low";
    }
    const inputs = {
      after: Math.round(this.#getElapsed()),
      sickness: Number(tracker.getFailureProbability(this.#placed.target).toFixed(3)),
      retryLevel: Number(retryLevel.toFixed(2)),
    };
    if (obstacle !== undefined || candidate === undefined) {
      const reason = obstacle ?? "no_free_slot";
      if (reason !== this.#withheldFor) {
        this.#withheldFor = reason;
        hedges.countWithheld(reason);
        trace.add("hedge_withheld", { reason, ...inputs });
      }
      return reason;
    }
    kernel.assert(hedges.take(service), "The allowance was checked.");
    const rateToken = tracker.takeRate(candidate.id);
    hedges.count("sent");
    trace.add("hedged", { target: candidate.id, ...inputs });
    return this.#start({ target: candidate.id, rateToken });
  }

  #start(placed: placers.PlacedTarget): races.RunningAttempt {
    const controller = new AbortController();
    const startedAt = kernel.getMonotonicMilliseconds();
    let isCancelled = false;
    const result = this.#options.call(placed, controller).then((ended) => {
      const milliseconds = kernel.getMonotonicMilliseconds() - startedAt;
      this.#recordTime(placed.target, ended, milliseconds, isCancelled);
      return ended;
    });
    const cancel = () => {
      isCancelled = true;
      controller.abort("outlasted" satisfies givenUp.GivingUpReason);
    };
    this.#options.signal.addEventListener("abort", cancel, { once: true });
    return { result, cancel };
  }

  #recordTime(
    target: model.TargetId,
    result: calls.CallResult,
    milliseconds: number,
    isCancelled: boolean,
  ): void {
    const { context, accepted } = this.#options;
    const { tracker, hedges } = context;
    const { id, objectiveMilliseconds } = accepted.route;
    if (isReturned(result)) {
      hedges.quantiles.record(id, milliseconds);
      return;
    }
    const isOutlasted = result.kind === "failed" && result.reason === "cancelled" && isCancelled;
    if (isOutlasted || (result.kind === "failed" && result.reason === "silent")) {
      hedges.quantiles.recordAtLeast(id, milliseconds, this.#quantile);
    }
    // A cancelled attempt is evidence of slowness, not of failure; a short one shows neither.
    if (isOutlasted && milliseconds > this.#getMean()) {
      tracker.processingTimes.record(id, target, milliseconds, objectiveMilliseconds);
    }
  }

  #getElapsed(): number {
    return kernel.getMonotonicMilliseconds() - this.#startedAt;
  }

  #getMean(): number {
    const { id, objectiveMilliseconds } = this.#options.accepted.route;
    const { processingTimes } = this.#options.context.tracker;
    return processingTimes.getRouteMean(id, objectiveMilliseconds);
  }

  #getDelay(): number {
    const { tracker } = this.#options.context;
    return placement.getHedgeDelay({
      ...this.#getTiming(),
      failureProbability: tracker.getFailureProbability(this.#placed.target),
    });
  }

  #getTiming(): Omit<placement.HedgeTiming, "failureProbability"> {
    const { context, accepted } = this.#options;
    return getHedgeTiming(context, accepted, this.#startedAt);
  }
}
