/**
 * The attempts of one request that run at the same time. The first response that ends the request
 * wins, and only then are the others cancelled.
 *
 * Nothing tells a target that hangs from one that works for long, and an attempt that is given up
 * cannot be resumed. So an attempt without a response goes on, and a further one is started beside
 * it when there is leave for one. What an attempt has failed with is held while others run.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as calls from "./target_call.ts";

/** An attempt that has been started. */
export interface RunningAttempt {
  readonly result: Promise<calls.CallResult>;
  /** Ends the attempt, so that its result comes without delay. No effect once it has ended. */
  readonly cancel: () => void;
}

/** What a race uses. */
export interface RaceOptions {
  /** Starts a further attempt if there is leave for one now. */
  readonly startFurther: () => RunningAttempt | undefined;
  /** Time after which a further attempt is considered again, in milliseconds. */
  readonly getRepeatDelay: () => number;
}

/**
 * How much a result without a response that ends the request tells its caller. A target's own error
 * tells most; that one target did not run the request says nothing about the others.
 */
const INFORMATION: Readonly<Record<calls.CallResult["kind"], number>> = {
  answered: 3,
  failed: 2,
  refused_by_peer: 1,
  not_run: 0,
};

/** Runs the attempts of one request until one has a response or all have failed. */
export class AttemptRace {
  readonly #options: RaceOptions;
  readonly #running = new Set<RunningAttempt>();
  /** The failure to be returned if no other attempt has a response. */
  #held: calls.CallResult | undefined;
  #hasEnded = false;
  #timer: kernel.StoppableTimer | undefined;
  #settle: (end: () => Promise<calls.CallResult>) => void = () => undefined;

  constructor(options: RaceOptions) {
    this.#options = options;
  }

  /** Attempts that run now. */
  get running(): number {
    return this.#running.size;
  }

  /**
   * Waits for the result of the race. An unexpected error of an attempt ends the others and is
   * thrown.
   */
  async run(first: RunningAttempt): Promise<calls.CallResult> {
    const ended = new Promise<() => Promise<calls.CallResult>>((resolve) => {
      this.#settle = resolve;
    });
    this.#add(first);
    const end = await ended;
    return await end();
  }

  /** Starts a further attempt as soon as there is leave for one. */
  requestFurther(): void {
    this.#timer?.stop();
    this.#timer = undefined;
    if (this.#hasEnded) {
      return;
    }
    try {
      const further = this.#options.startFurther();
      if (further === undefined) {
        const delay = this.#options.getRepeatDelay();
        this.#timer = kernel.startInputTimer(() => this.requestFurther(), delay);
      } else {
        this.#add(further);
      }
    } catch (error) {
      this.#fail(error);
    }
  }

  /** Takes the failure that is held while other attempts run, so that it is not returned. */
  takeHeld(): calls.CallResult | undefined {
    const held = this.#held;
    this.#held = undefined;
    return held;
  }

  #add(attempt: RunningAttempt): void {
    this.#running.add(attempt);
    attempt.result.then(
      (result) => this.#onResult(attempt, result),
      (error: unknown) => {
        this.#running.delete(attempt);
        this.#fail(error);
      },
    );
  }

  #onResult(attempt: RunningAttempt, result: calls.CallResult): void {
    this.#running.delete(attempt);
    if (this.#hasEnded) {
      calls.discardAnswer(result);
    } else if (calls.isConclusive(result)) {
      calls.discardAnswer(this.takeHeld());
      this.#end(() => Promise.resolve(result));
    } else {
      this.#hold(result);
      if (this.#running.size === 0) {
        const held = kernel.getDefined(this.takeHeld(), "A failure has just been held.");
        this.#end(() => Promise.resolve(held));
      } else {
        this.requestFurther();
      }
    }
  }

  #fail(error: unknown): void {
    calls.discardAnswer(this.takeHeld());
    this.#end(() => {
      throw error;
    });
  }

  #hold(result: calls.CallResult): void {
    const held = this.#held;
    if (held !== undefined && INFORMATION[held.kind] > INFORMATION[result.kind]) {
      calls.discardAnswer(result);
      return;
    }
    calls.discardAnswer(held);
    this.#held = result;
  }

  /** Cancels what still runs, and ends the race once that has ended too. */
  #end(getResult: () => Promise<calls.CallResult>): void {
    if (this.#hasEnded) {
      return;
    }
    this.#hasEnded = true;
    this.#timer?.stop();
    const others = [...this.#running];
    others.forEach((attempt) => attempt.cancel());
    void Promise.allSettled(others.map(({ result }) => result)).then(() => this.#settle(getResult));
  }
}
