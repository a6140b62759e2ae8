/**
 * Plays the load of a calm day over three data centres: targets with two slots that fail for some
 * seconds at a time, and requests of which a third may be retried.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as randoms from "./random.ts";

const DATA_CENTRES = 3;
const TARGETS_PER_DATA_CENTRE = 5;
const REQUESTS_PER_SECOND = 30;
const RETRYABLE_SHARE = 1 / 3;
const PROCESSING_MILLISECONDS = 180;
const SECONDS = 40;
const STEP_MILLISECONDS = 10;

/** Seconds that are not counted, in which the estimates form. */
const WARM_UP_SECONDS = 4;

/** Shares of the requests that fail at a target in a failure period, and at others. */
const FAILING_ERROR_SHARE = 0.9;
const HEALTHY_ERROR_SHARE = 0.012;

/** Time until a target that fails responds with its error. */
const ERROR_MILLISECONDS = 30;

interface PlayedTarget {
  readonly id: model.TargetId;
  readonly dataCentre: number;
  readonly estimate: placement.HealthEstimate;
  load: number;
  isFailing: boolean;
  changesAt: number;
}

interface Day {
  readonly placed: number;
  readonly remote: number;
  readonly served: number;
  readonly refused: number;
}

/** Plays a day; the outcomes of all calls are known at once. */
async function play(seed: number, clock: testing.TestClock): Promise<Day> {
  const random = randoms.createRandom(seed);
  const drawExponential = (mean: number) => -Math.log(1 - random()) * mean;
  const now = () => clock.monotonicMilliseconds;
  const targets = Array.from({ length: DATA_CENTRES * TARGETS_PER_DATA_CENTRE }, (_, index) => ({
    id: model.createTargetId(`target-${index}`),
    dataCentre: index % DATA_CENTRES,
    estimate: new placement.HealthEstimate(),
    load: 0,
    isFailing: false,
    changesAt: now() + drawExponential(7_000),
  }));
  const day = { placed: 0, remote: 0, served: 0, refused: 0 };
  let isCounted = false;
  const call = (dataCentre: number, mayRetry: boolean, tried: ReadonlySet<PlayedTarget>) => {
    const candidates = targets.filter((target) => !tried.has(target)).map((target) =>
      createCandidate(target, dataCentre, now())
    );
    const choice = placement.chooseTarget(candidates, {
      mayRetry,
      objectiveMilliseconds: 600,
      meanProcessingMilliseconds: PROCESSING_MILLISECONDS,
      allowedOverflow: 1,
    }, random);
    const target = choice.kind === "chosen"
      ? targets.find(({ id }) => id === choice.candidate.id)
      : undefined;
    if (target === undefined) {
      day.refused += isCounted ? 1 : 0;
      return;
    }
    const startedAt = now();
    const isError = random() < (target.isFailing ? FAILING_ERROR_SHARE : HEALTHY_ERROR_SHARE);
    day.placed += isCounted ? 1 : 0;
    day.remote += isCounted && target.dataCentre !== dataCentre ? 1 : 0;
    target.load++;
    const duration = isError ? ERROR_MILLISECONDS : PROCESSING_MILLISECONDS * (0.5 + random());
    setTimeout(() => {
      target.load--;
      target.estimate.recordOutcome(isError ? "error" : "success", startedAt);
      day.served += isCounted && !isError ? 1 : 0;
      if (isError && mayRetry) {
        call(dataCentre, false, new Set([...tried, target]));
      }
    }, duration);
  };
  let nextAt = now();
  for (let step = 0; step < SECONDS * 1_000 / STEP_MILLISECONDS; step++) {
    isCounted = step * STEP_MILLISECONDS >= WARM_UP_SECONDS * 1_000;
    for (const target of targets.filter(({ changesAt }) => changesAt <= now())) {
      target.isFailing = !target.isFailing;
      target.changesAt = now() + drawExponential(target.isFailing ? 2_700 : 7_000);
    }
    while (nextAt <= now()) {
      call(Math.floor(random() * DATA_CENTRES), random() < RETRYABLE_SHARE, new Set());
      nextAt += drawExponential(1_000 / REQUESTS_PER_SECOND);
    }
    await clock.advance(STEP_MILLISECONDS);
  }
  await clock.advance(1_000);
  return day;
}

function createCandidate(
  target: PlayedTarget,
  dataCentre: number,
  now: number,
): placement.Candidate {
  return {
    id: target.id,
    slots: 2,
    load: target.load,
    failureProbability: target.estimate.failureProbability,
    sinceLastOutcomeMilliseconds: now - target.estimate.lastOutcomeAt,
    evidenceAgeMilliseconds: now - target.estimate.evidenceAt,
    relativeProcessingTime: 1,
    isUnreachable: false,
    isRemote: target.dataCentre !== dataCentre,
    warmUpMilliseconds: 0,
  };
}

test.describe("placement over three data centres on a calm day", () => {
  test.test("most requests stay in their data centre, and as many are served", async () => {
    const clock = new testing.TestClock();
    try {
      const days: Day[] = [];
      for (const seed of [1, 2, 3]) {
        days.push(await play(seed, clock));
      }
      const sum = (key: keyof Day) => days.reduce((total, day) => total + day[key], 0);
      const arrivals = SECONDS - WARM_UP_SECONDS;
      const remoteShare = sum("remote") / sum("placed");
      const servedShare = sum("served") / (days.length * arrivals * REQUESTS_PER_SECOND);
      const shares = `${(remoteShare * 100).toFixed(1)}% remote, ` +
        `${(servedShare * 100).toFixed(1)}% served, ${sum("refused")} refused`;
      // At most a third, the part of the traffic between data centres that is aimed at.
      assert.ok(remoteShare <= 1 / 3, shares);
      assert.ok(servedShare >= 0.97, shares);
    } finally {
      clock.restore();
    }
  });
});
