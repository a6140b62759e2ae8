/**
 * Latency buckets, four for each doubling of the latency, and a decaying histogram of them.
 */

const BUCKETS_PER_DOUBLING = 4;

/** Latency in the middle of the first bucket. */
const FIRST_BUCKET_MILLISECONDS = 1 / 16;

/** Number of buckets. The last one holds all latencies above 13 minutes. */
export const BUCKET_COUNT = 96;

/** All counts are halved after this time, so that old calls lose their weight. */
const HALF_LIFE_MILLISECONDS = 10_000;

/** The bucket of a latency. */
export function getBucket(milliseconds: number): number {
  const doublings = Math.log2(Math.max(milliseconds / FIRST_BUCKET_MILLISECONDS, 1));
  return Math.min(Math.round(doublings * BUCKETS_PER_DOUBLING), BUCKET_COUNT - 1);
}

/** The latency in milliseconds in the middle of a bucket. */
export function getBucketMilliseconds(bucket: number): number {
  return FIRST_BUCKET_MILLISECONDS * 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/** Decaying histogram of the recent latencies. */
export class LatencyHistogram {
  readonly #counts = new Float64Array(BUCKET_COUNT);
  #total = 0;
  #halvedAt: number;

  constructor(nowMilliseconds: number) {
    this.#halvedAt = nowMilliseconds;
  }

  /** Number of recorded calls, in which older calls count less. */
  get count(): number {
    return this.#total;
  }

  add(bucket: number, count: number, nowMilliseconds: number): void {
    this.#halve(nowMilliseconds);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + count;
    this.#total += count;
  }

  /** The median in milliseconds; undefined with fewer than `minimumCalls` calls. */
  getMedian(minimumCalls: number): number | undefined {
    if (this.#total < minimumCalls) {
      return undefined;
    }
    let below = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      below += this.#counts[bucket] ?? 0;
      if (below >= this.#total / 2) {
        return getBucketMilliseconds(bucket);
      }
    }
    return getBucketMilliseconds(BUCKET_COUNT - 1);
  }

  #halve(nowMilliseconds: number): void {
    if (nowMilliseconds - this.#halvedAt < HALF_LIFE_MILLISECONDS) {
      return;
    }
    this.#halvedAt = nowMilliseconds;
    this.#total /= 2;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.#counts[bucket] = (this.#counts[bucket] ?? 0) / 2;
    }
  }
}
