/**
 * Runs the attempts of one request beside each other.
 *
 * A silent attempt is not given up, since its target may be at work. A further attempt is placed
 * beside it instead, as soon as all that it needs is there. The first attempt with a response for
 * the caller wins, and only then are the others cancelled. A failed attempt ends only itself while
 * others run.
 */

import * as kernel from "@hemlockwalk/kernel";

/** Returns how many milliseconds of silence call for a further attempt; undefined if none do. */
export type GetSilenceLimit = () => number | undefined;

/** What an attempt race needs to know about the attempts. */
export interface RaceRules<Placement, Result> {
  /**
   * Runs one attempt to its end, which must follow soon after its cancellation. Resolves with
   * undefined if it did not begin.
   */
  runAttempt(placement: Placement, attempt: RacingAttempt): Promise<Result | undefined>;
  /** Whether the request goes on after this result if other attempts run. */
  isFailure(result: Result): boolean;
  /** Places a further attempt beside the running ones; undefined if it can't begin now. */
  tryPlace(): Placement | undefined;
}

/** The events by which an attempt affects its race. */
interface RaceEvents {
  readonly runningAttempts: number;
  begin(getSilenceLimit: GetSilenceLimit): void;
  decide(winner: RacingAttempt): void;
}

/** One attempt of a race. */
export class RacingAttempt {
  readonly #race: RaceEvents;
  #listener: (() => void) | undefined;
  #abort: AbortController | undefined;
  #isCancelled = false;
  #hasLost = false;
  #isSilent = false;

  constructor(race: RaceEvents) {
    this.#race = race;
  }

  /** Whether the attempt must end, since another one has won or the request has ended. */
  get isCancelled(): boolean {
    return this.#isCancelled;
  }

  /** Whether the attempt was cancelled because another one has won. */
  get hasLost(): boolean {
    return this.#hasLost;
  }

  /** Whether the attempt was silent for so long that another one was called for. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Whether no other attempt of the request runs. */
  get isAlone(): boolean {
    return this.#race.runningAttempts === 1;
  }

  /** Aborts on cancellation. Created on first use: most attempts never wait. */
  get signal(): AbortSignal {
    this.#abort ??= new AbortController();
    if (this.#isCancelled) {
      this.#abort.abort();
    }
    return this.#abort.signal;
  }

  /** Sets the listener for the cancellation, replacing the previous one. */
  onCancel(listener: (() => void) | undefined): void {
    this.#listener = listener;
  }

  /** Starts the wait for a response, of which the limit is computed again after each silence. */
  begin(getSilenceLimit: GetSilenceLimit): void {
    this.#race.begin(getSilenceLimit);
  }

  /** Claims the response to the caller and cancels the other attempts. */
  win(): void {
    kernel.assert(!this.#isCancelled, "A cancelled attempt can't win.");
    this.#race.decide(this);
  }

  /** Called by the race alone. */
  markSilent(): void {
    this.#isSilent = true;
  }

  /** Called by the race alone. */
  cancel(hasLost: boolean): void {
    if (this.#isCancelled) {
      return;
    }
    this.#isCancelled = true;
    this.#hasLost = hasLost;
    this.#abort?.abort();
    this.#listener?.();
  }
}

/** The attempts of one request that run beside each other. */
export class AttemptRace<Placement, Result> {
  readonly #rules: RaceRules<Placement, Result>;
  readonly #running = new Set<RacingAttempt>();
  readonly #events: RaceEvents;
  #getSilenceLimit: GetSilenceLimit = () => undefined;
  #timer: NodeJS.Timeout | undefined;
  #isDecided = false;
  /** The result that ended the race. */
  #decisive: Result | undefined;
  #lastFailure: Result | undefined;
  #resolve: (result: Result | undefined) => void = () => {};
  #reject: (error: unknown) => void = () => {};

  constructor(rules: RaceRules<Placement, Result>) {
    this.#rules = rules;
    const running = this.#running;
    this.#events = {
      get runningAttempts() {
        return running.size;
      },
      begin: (getSilenceLimit) => {
        this.#getSilenceLimit = getSilenceLimit;
        this.#startTimer();
      },
      decide: (winner) => this.#decide(winner),
    };
  }

  /**
   * Runs attempts until one has ended the race or all have failed. Called once.
   *
   * @param first The placement of the first attempt.
   * @returns The decisive result, else the last failure, once all attempts have ended; undefined if
   *   none began.
   */
  run(first: Placement): Promise<Result | undefined> {
    return new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
      this.#start(first);
    });
  }

  /** Cancels all attempts, since the request has ended. */
  cancel(): void {
    this.#stopPlacing();
    for (const attempt of [...this.#running]) {
      attempt.cancel(false);
    }
  }

  #start(placement: Placement): void {
    const attempt = new RacingAttempt(this.#events);
    this.#running.add(attempt);
    this.#rules.runAttempt(placement, attempt).then(
      (result) => this.#end(attempt, result),
      (error: unknown) => {
        this.#running.delete(attempt);
        this.#decide(attempt);
        this.#reject(error);
      },
    );
  }

  #end(attempt: RacingAttempt, result: Result | undefined): void {
    this.#running.delete(attempt);
    if (result !== undefined && !attempt.hasLost) {
      this.#addResult(attempt, result);
    }
    if (this.#running.size === 0) {
      this.#stopPlacing();
      this.#resolve(this.#decisive ?? this.#lastFailure);
    }
  }

  #addResult(attempt: RacingAttempt, result: Result): void {
    if (this.#rules.isFailure(result)) {
      this.#lastFailure = result;
      return;
    }
    this.#decisive ??= result;
    this.#decide(attempt);
  }

  #decide(winner: RacingAttempt): void {
    this.#stopPlacing();
    for (const attempt of [...this.#running]) {
      if (attempt !== winner) {
        attempt.cancel(true);
      }
    }
  }

  #stopPlacing(): void {
    this.#isDecided = true;
    clearTimeout(this.#timer);
  }

  #startTimer(): void {
    clearTimeout(this.#timer);
    const limit = this.#isDecided ? undefined : this.#getSilenceLimit();
    if (limit !== undefined) {
      this.#timer = setTimeout(() => this.#handleSilence(), limit);
    }
  }

  #handleSilence(): void {
    for (const attempt of this.#running) {
      attempt.markSilent();
    }
    const placement = this.#rules.tryPlace();
    // Started also if nothing was placed: what was missing may be there later.
    this.#startTimer();
    if (placement !== undefined) {
      this.#start(placement);
    }
  }
}
