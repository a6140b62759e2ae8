/**
 * The story of each request: one line at its end with every decision on the way, what decided it
 * and how old that was.
 *
 * A story is written whole or not at all. Those of failed requests go first: successes have a
 * smaller allowance, and what was left out is counted.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Lines a second, failed requests and others. They bound the cost of a flood. */
const FAILED_LINES_PER_SECOND = 40;
const OTHER_LINES_PER_SECOND = 5;

/** One decision. */
export interface Step {
  /** Milliseconds after the request's arrival. */
  readonly at: number;
  readonly step: string;
  readonly [input: string]: string | number | boolean | undefined;
}

type StepName = keyof typeof kernel.StorySteps;

/** What decided a step, by the names that the operators' page explains. */
type StepInputs<Name extends StepName> = {
  readonly [Input in keyof (typeof kernel.StorySteps)[Name]]?:
    | string
    | number
    | boolean
    | undefined;
};

/** Collects the decisions on one request. */
export class RequestStory {
  readonly id: string;
  readonly arrivedAt = kernel.getMonotonicMilliseconds();
  readonly #steps: Step[] = [];

  constructor(id: string) {
    this.id = id;
  }

  get steps(): readonly Step[] {
    return this.#steps;
  }

  add<Name extends StepName>(step: Name, inputs: StepInputs<Name>): void {
    const at = Math.round(kernel.getMonotonicMilliseconds() - this.arrivedAt);
    this.#steps.push({ at, step, ...inputs });
  }
}

/** Writes stories within the allowance. */
export class RequestLog {
  readonly #logger: kernel.PartLogger;
  #failedLeft = FAILED_LINES_PER_SECOND;
  #othersLeft = OTHER_LINES_PER_SECOND;
  #leftOut = 0;
  #windowStart = kernel.getMonotonicMilliseconds();

  constructor(logger: kernel.PartLogger) {
    this.#logger = logger;
  }

  write(story: RequestStory, outcome: string, status: number): void {
    this.#renewAllowance();
    const isFailed = status === 0 || status >= 500 || status === 429;
    const left = isFailed ? this.#failedLeft-- : this.#othersLeft--;
    if (left <= 0) {
      this.#leftOut++;
      return;
    }
    this.#logger.write(kernel.LogMessages.requestEnded, {
      request: story.id,
      outcome,
      status,
      steps: JSON.stringify(story.steps),
    });
  }

  #renewAllowance(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#windowStart < 1_000) {
      return;
    }
    this.#windowStart = now;
    this.#failedLeft = FAILED_LINES_PER_SECOND;
    this.#othersLeft = OTHER_LINES_PER_SECOND;
    if (this.#leftOut > 0) {
      this.#logger.write(kernel.LogMessages.storiesLeftOut, { count: this.#leftOut });
      this.#leftOut = 0;
    }
  }
}
