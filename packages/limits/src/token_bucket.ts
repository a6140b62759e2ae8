/**
 * A token bucket on the monotonic clock.
 */

/** Tokens accrue at a rate up to a capacity. */
export class TokenBucket {
  #level: number;
  #updatedMilliseconds: number;
  #ratePerSecond: number;
  #capacity: number;

  /**
   * @param ratePerSecond Tokens that accrue in a second.
   * @param capacity Maximum number of tokens in the bucket.
   * @param level Tokens at the start.
   * @param nowMilliseconds Monotonic time of the start.
   */
  constructor(ratePerSecond: number, capacity: number, level: number, nowMilliseconds: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = Math.min(level, capacity);
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** Tokens at the given time. */
  getLevel(nowMilliseconds: number): number {
    this.#accrue(nowMilliseconds);
    return this.#level;
  }

  /** Takes the given number of tokens if the bucket holds that many. */
  tryTake(count: number, nowMilliseconds: number): boolean {
    this.#accrue(nowMilliseconds);
    if (this.#level < count) {
      return false;
    }
    this.#level -= count;
    return true;
  }

  /** Milliseconds until the bucket holds the given number of tokens. */
  getWaitMilliseconds(count: number, nowMilliseconds: number): number {
    const missing = count - this.getLevel(nowMilliseconds);
    return missing <= 0 ? 0 : missing * 1_000 / this.#ratePerSecond;
  }

  /** Changes rate and capacity. Tokens above the new capacity are discarded. */
  configure(ratePerSecond: number, capacity: number, nowMilliseconds: number): void {
    this.#accrue(nowMilliseconds);
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  #accrue(nowMilliseconds: number): void {
    const elapsed = nowMilliseconds - this.#updatedMilliseconds;
    if (elapsed <= 0) {
      return;
    }
    this.#updatedMilliseconds = nowMilliseconds;
    this.#level = Math.min(this.#capacity, this.#level + elapsed * this.#ratePerSecond / 1_000);
  }
}
