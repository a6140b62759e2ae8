/**
 * Latencies in buckets that are a quarter of a power of two wide, and a decaying distribution of them.
 */

const BUCKETS_PER_DOUBLING = 4;

/** Lower end of the first bucket. */
const FIRST_BUCKET_MILLISECONDS = 1 / 16;

/** Number of buckets; the last one begins above four minutes. */
export const BUCKET_COUNT = 96;

/** The distribution halves its counts after this time, so that old calls lose their weight. */
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

/** Recent latencies, from which the median is read. */
export class RecentLatencies {
  readonly #counts = new Float64Array(BUCKET_COUNT);
  #total = 0;
  #halvedAt: number;

  constructor(nowMilliseconds: number) {
    this.#halvedAt = nowMilliseconds;
  }

  /** Number of calls recorded, less what has lost its weight. */
  get count(): number {
    return this.#total;
  }

  add(bucket: number, count: number, nowMilliseconds: number): void {
    this.#halve(nowMilliseconds);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + count;
    this.#total += count;
  }

  /** The median in milliseconds; undefined while there are fewer calls than demanded. */
  getMedian(leastCalls: number): number | undefined {
    if (this.#total < leastCalls) {
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
