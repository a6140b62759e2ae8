/**
 * Writes a trace of each request to the log: one line at its end with every decision, the inputs of
 * the decision and their age.
 *
 * A trace is written completely or not at all. The number of lines per second is limited, with a
 * smaller allowance for successful requests than for failed ones, and omitted traces are counted.
 */

import * as kernel from "@hemlockwalk/kernel";

/**
 * Lines per second for failed and for other requests. They limit the cost of a flood of requests.
 */
const FAILED_LINES_PER_SECOND = 40;
const OTHER_LINES_PER_SECOND = 5;

/** One decision in a trace. */
export interface Step {
  /** Milliseconds after the request's arrival. */
  readonly at: number;
  readonly step: string;
  readonly [input: string]: string | number | boolean | undefined;
}

type StepName = keyof typeof kernel.TraceSteps;

/** Inputs of a step, under the names that the operators' page documents. */
type StepInputs<Name extends StepName> = {
  readonly [Input in keyof (typeof kernel.TraceSteps)[Name]]?:
    | string
    | number
    | boolean
    | undefined;
};

/** Collects the decisions on one request. */
export class RequestTrace {
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

/** Writes traces within the allowance. */
export class RequestLog {
  readonly #logger: kernel.ComponentLogger;
  #failedLeft = FAILED_LINES_PER_SECOND;
  #othersLeft = OTHER_LINES_PER_SECOND;
  #omitted = 0;
  #windowStart = kernel.getMonotonicMilliseconds();

  constructor(logger: kernel.ComponentLogger) {
    this.#logger = logger;
  }

  write(trace: RequestTrace, outcome: string, status: number): void {
    this.#resetAllowance();
    const isFailed = status === 0 || status >= 500 || status === 429;
    const left = isFailed ? this.#failedLeft-- : this.#othersLeft--;
    if (left <= 0) {
      this.#omitted++;
      return;
    }
    this.#logger.write(kernel.LogMessages.requestEnded, {
      request: trace.id,
      outcome,
      status,
      steps: JSON.stringify(trace.steps),
    });
  }

  #resetAllowance(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#windowStart < 1_000) {
      return;
    }
    this.#windowStart = now;
    this.#failedLeft = FAILED_LINES_PER_SECOND;
    this.#othersLeft = OTHER_LINES_PER_SECOND;
    if (this.#omitted > 0) {
      this.#logger.write(kernel.LogMessages.tracesOmitted, { count: this.#omitted });
      this.#omitted = 0;
    }
  }
}
