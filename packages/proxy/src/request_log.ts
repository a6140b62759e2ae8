/**
 * Writes a trace of each request to the log: one line at its end with every decision, the inputs of
 * the decision and their age.
 *
 * A trace is written completely or not at all. The number of lines per second is limited, with a
 * smaller allowance for successful requests than for failed ones, and omitted traces are counted.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as refusals from "./refusals.ts";
import type * as connections from "./target_connections.ts";

/**
 * Lines per second for failed and for other requests. They limit the cost of a flood of requests.
 */
const FAILED_LINES_PER_SECOND = 40;
const OTHER_LINES_PER_SECOND = 5;

/**
 * Lines per second for requests that are refused as not run although a target or another VM has
 * received them: such a promise rests on what others have said, so it must be possible to check it.
 */
const PROMISE_LINES_PER_SECOND = 20;

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

/** The inputs of a step that say on which connection a response came. */
export function describeConnection(connection: connections.ConnectionUse) {
  return {
    port: connection.getPort(),
    earlier: connection.earlierRequests,
    repeated: connection.isRepetition,
  };
}

/** Collects the decisions on one request. */
export class RequestTrace {
  readonly id: string;
  readonly arrivedAt = kernel.getMonotonicMilliseconds();
  readonly #steps: Step[] = [];
  #hasArrived = false;

  constructor(id: string) {
    this.id = id;
  }

  get steps(): readonly Step[] {
    return this.#steps;
  }

  /** Whether a target or another VM has received the request, as far as known. */
  get hasArrived(): boolean {
    return this.#hasArrived;
  }

  recordArrival(): void {
    this.#hasArrived = true;
  }

  add<Name extends StepName>(step: Name, inputs: StepInputs<Name>): void {
    const at = Math.round(kernel.getMonotonicMilliseconds() - this.arrivedAt);
    this.#steps.push({ at, step, ...inputs });
  }
}

/** Writes traces within the allowance. */
export class RequestLog {
  readonly #logger: kernel.ComponentLogger;
  readonly #promises: Pick<kernel.Counter<"outcome">, "inc">;
  #promisesLeft = PROMISE_LINES_PER_SECOND;
  #failedLeft = FAILED_LINES_PER_SECOND;
  #othersLeft = OTHER_LINES_PER_SECOND;
  #omitted = 0;
  #windowStart = kernel.getMonotonicMilliseconds();

  /** @param promises Counts requests that have arrived somewhere and are refused as not run. */
  constructor(
    logger: kernel.ComponentLogger,
    promises: Pick<kernel.Counter<"outcome">, "inc">,
  ) {
    this.#logger = logger;
    this.#promises = promises;
  }

  write(trace: RequestTrace, outcome: string, status: number): void {
    this.#resetAllowance();
    const isPromise = trace.hasArrived && refusals.isNotRunStatus(status);
    if (isPromise) {
      this.#promises.inc({ outcome });
    }
    if (!(isPromise && this.#promisesLeft-- > 0) && !this.#takeLine(status)) {
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

  #takeLine(status: number): boolean {
    const isFailed = status === 0 || status >= 500 || status === 429;
    return (isFailed ? this.#failedLeft-- : this.#othersLeft--) > 0;
  }

  #resetAllowance(): void {
    const now = kernel.getMonotonicMilliseconds();
    if (now - this.#windowStart < 1_000) {
      return;
    }
    this.#windowStart = now;
    this.#promisesLeft = PROMISE_LINES_PER_SECOND;
    this.#failedLeft = FAILED_LINES_PER_SECOND;
    this.#othersLeft = OTHER_LINES_PER_SECOND;
    if (this.#omitted > 0) {
      this.#logger.write(kernel.LogMessages.tracesOmitted, { count: this.#omitted });
      this.#omitted = 0;
    }
  }
}
